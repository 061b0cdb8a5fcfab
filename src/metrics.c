#include "metrics.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "board.h"
#include "config.h"
#include "operator.h"
#include "peer.h"
#include "permit.h"
#include "request.h"

/* The HELP and TYPE lines of a metric. */
static void put_header(GString *out, const char *name, const char *type,
		       const char *help)
{
	g_string_append_printf(out,
			       "# HELP toucanreel_%s %s\n"
			       "# TYPE toucanreel_%s %s\n",
			       name, help, name, type);
}

static void put_metric(GString *out, const char *name, const char *type,
		       const char *help, uint64_t value)
{
	put_header(out, name, type, help);
	g_string_append_printf(out, "toucanreel_%s %" PRIu64 "\n", name, value);
}

static void by_code(GString *out, const struct proxy *proxy)
{
	put_header(out, "results_total", "counter",
		   "Requests by their numbered result code.");
	for (int code = 0; code < 640; code++)
		if (proxy->counts.by_code[code])
			g_string_append_printf(
				out,
				"toucanreel_results_total{code=\"%d\","
				"word=\"%s\"} %" PRIu64 "\n",
				code, tr_result_name((enum tr_result)code),
				proxy->counts.by_code[code]);
}

/* Value of the metric with this index in by_service. */
static uint64_t service_value(const struct tr_service *svc, int metric,
			      apr_time_t now)
{
	switch (metric) {
	case 0:
		return svc->counts.requests;
	case 1:
		return svc->counts.retries;
	case 2:
		return svc->counts.shed;
	case 3:
		return svc->counts.ejections;
	case 4:
		return svc->counts.floor_held;
	case 5:
		return tr_floor_in_use(svc, now);
	case 6:
		return svc->queue.length;
	case 7:
		return svc->document_revision;
	default:
		return svc->vote.owner;
	}
}

static void by_service(GString *out, const struct tr_board *board)
{
	static const struct {
		const char *name, *type, *help;
	} rows[] = {
		{ "service_requests_total", "counter", "Requests taken." },
		{ "service_retries_total", "counter",
		  "Attempts after the "
		  "first." },
		{ "service_shed_total", "counter", "Requests shed." },
		{ "service_ejections_total", "counter", "Orders to eject." },
		{ "service_floor_held_total", "counter",
		  "Times the floor stopped an ejection." },
		{ "service_targets_in_use", "gauge", "Targets in use here." },
		{ "service_queued", "gauge", "Requests waiting." },
		{ "service_document_revision", "gauge",
		  "Revision of the document in force." },
		{ "service_owner", "gauge", "1 where orders are given." },
	};
	apr_time_t now = tr_clock_now(&board->clock);

	for (int r = 0; r < (int)(sizeof(rows) / sizeof(rows[0])); r++) {
		put_header(out, rows[r].name, rows[r].type, rows[r].help);
		for (int i = 0; i < TR_MAX_SERVICES; i++) {
			const struct tr_service *svc = &board->services[i];

			if (!svc->used)
				continue;
			g_string_append_printf(
				out,
				"toucanreel_%s{service=\"%s\"} %" PRIu64 "\n",
				rows[r].name, svc->name,
				service_value(svc, r, now));
		}
	}
}

static void put_control_plane(GString *out, const struct operator_parts *parts)
{
	const struct peer_counts *link = peer_get_counts(parts->link);
	const struct config_counts *config = config_get_counts(parts->config);
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	put_metric(out, "peer_messages_sent_total", "counter",
		   "Messages to peers.", link->sent);
	put_metric(out, "peer_bytes_sent_total", "counter", "Bytes to peers.",
		   link->sent_bytes);
	put_metric(out, "peer_messages_received_total", "counter",
		   "Messages of peers.", link->received);
	put_metric(out, "peer_bad_mac_total", "counter",
		   "Datagrams that failed their authentication.",
		   link->bad_mac);
	put_metric(out, "peer_undecodable_total", "counter",
		   "Datagrams that could not be decoded.", link->undecodable);
	put_metric(out, "platform_calls_total", "counter",
		   "Calls to the platform.", config->platform_calls);
	put_metric(out, "platform_failures_total", "counter",
		   "Calls that failed.", config->platform_failures);
	put_metric(out, "old_revisions_total", "counter",
		   "Older revisions that were refused.", config->old_revisions);
	put_metric(out, "memory_bytes", "gauge", "Peak resident memory.",
		   (uint64_t)usage.ru_maxrss * 1024);
	put_metric(out, "cpu_milliseconds_total", "counter", "Processor time.",
		   (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
				   1000 +
			   (uint64_t)(usage.ru_utime.tv_usec +
				      usage.ru_stime.tv_usec) /
				   1000);
}

/* All metrics as Prometheus text; the caller frees it. */
char *metrics_text(const struct operator_parts *parts)
{
	GString *out = g_string_new(NULL);
	const struct proxy_counts *c = &parts->proxy->counts;
	char *text;

	put_metric(out, "requests_total", "counter", "Requests of callers.",
		   c->requests);
	put_metric(out, "in_flight", "gauge", "Requests in hand.",
		   parts->proxy->in_flight);
	put_metric(out, "hedged_total", "counter", "Overdue requests moved.",
		   c->hedged);
	put_metric(out, "replayed_total", "counter", "Answers given again.",
		   c->replayed);
	put_metric(out, "bytes_in_total", "counter", "Bytes of bodies taken.",
		   c->bytes_in);
	put_metric(out, "bytes_out_total", "counter", "Bytes of answers given.",
		   c->bytes_out);
	put_metric(out, "keys_remembered", "gauge", "Keys in the table.",
		   parts->board->dispatcher.used);
	by_code(out, parts->proxy);
	by_service(out, parts->board);
	put_control_plane(out, parts);
	text = strdup(out->str);
	g_string_free(out, TRUE);
	return text;
}
