/*
 * Runs real entry daemons as processes and injects faults from outside, as a
 * seed determines. The guarantees are checked against what callers and
 * targets observe.
 */
#include <argtable2.h>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "world.h"

namespace
{

/* Returns 0 if all guarantees held; otherwise prints the events of the run. */
int run(const soak::Options &options)
{
	soak::Cluster cluster(options);
	unsigned total = 0;

	if (!cluster.start_all()) {
		printf("seed %u: the deployment did not start\n", options.seed);
		return 1;
	}
	cluster.run_faults();
	cluster.recover();
	cluster.stop();
	auto violations = cluster.ledger.violations();
	auto statuses = cluster.ledger.statuses();
	printf("seed %u: %s,", options.seed,
	       violations.empty() ? "kept" : "BROKEN");
	for (const auto &[status, n] : statuses) {
		printf(" %d: %u", status, n);
		total += n;
	}
	printf(", answers %u\n", total);
	if (violations.empty())
		return 0;
	for (const std::string &line : cluster.event_log)
		printf("  %s\n", line.c_str());
	for (const std::string &line : violations)
		printf("  BROKEN: %s\n", line.c_str());
	printf("  logs of the VMs: %s\n", options.dir.c_str());
	return 1;
}

int number_or(const arg_int *arg, int fallback)
{
	return arg->count ? arg->ival[0] : fallback;
}

} // namespace

int main(int argc, char **argv)
{
	arg_file *program =
		arg_file1(nullptr, "program", "FILE", "entry daemon to run");
	arg_int *seed = arg_int0(nullptr, "seed", "N", "first seed");
	arg_int *seeds =
		arg_int0(nullptr, "seeds", "N", "number of seeds, run in turn");
	arg_int *secs = arg_int0(nullptr, "seconds", "N",
				 "duration of the faults per seed");
	arg_int *vms = arg_int0(nullptr, "vms", "N", "number of entry VMs");
	arg_int *targets =
		arg_int0(nullptr, "targets", "N", "number of targets");
	arg_int *callers =
		arg_int0(nullptr, "callers", "N", "number of callers");
	arg_lit *bounds = arg_lit0(nullptr, "bounds", "also check time bounds");
	arg_lit *refusals = arg_lit0(nullptr, "refusals",
				     "targets reject most requests throughout");
	struct arg_end *end = arg_end(8);
	void *table[] = { program, seed,    seeds,  secs,     vms,
			  targets, callers, bounds, refusals, end };
	soak::Options options;
	int failed = 0;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "entry-soak");
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		return 2;
	}
	setvbuf(stdout, nullptr, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	options.program = program->filename[0];
	options.vms = (unsigned)number_or(vms, 8);
	options.targets = (unsigned)number_or(targets, 12);
	options.callers = (unsigned)number_or(callers, 16);
	options.seconds = (unsigned)number_or(secs, 10);
	options.bounds = bounds->count > 0;
	options.refusals = refusals->count > 0;
	for (int i = 0; i < number_or(seeds, 1); i++) {
		char dir[] = "/tmp/entry-soak-XXXXXX";

		options.seed = (uint32_t)(number_or(seed, 1) + i);
		if (!mkdtemp(dir)) {
			perror("entry-soak: cannot create a directory for the logs");
			return 2;
		}
		options.dir = dir;
		setenv("CUT_PATH_DIR", dir, 1);
		int bad = run(options);

		failed += bad;
		if (!bad)
			std::filesystem::remove_all(options.dir);
	}
	printf("%d of %d seeds broken\n", failed, number_or(seeds, 1));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return failed != 0;
}
