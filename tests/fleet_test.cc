#include <gtest/gtest.h>

#include <set>

#include "fake.h"

static std::set<uint64_t> members(const tr_fleet &fleet, const tr_cell &cell)
{
	std::set<uint64_t> ids;

	for (size_t i = 0; i < cell.count; i++)
		ids.insert(fleet.vms[cell.members[i]].id);
	return ids;
}

TEST(Cell, IsSpreadEvenlyOverDataCentres)
{
	auto vms = fake_vms(4, 8);
	tr_fleet fleet = { 1, vms.size(), vms.data() };
	FakeDocument doc;
	tr_cell cell;
	unsigned per_centre[4] = { 0 };

	tr_cell_choose(&cell, &fleet, &doc.doc);
	ASSERT_EQ(cell.count, 8u);
	for (size_t i = 0; i < cell.count; i++)
		per_centre[cell.members[i] / 8]++;
	for (unsigned n : per_centre)
		EXPECT_EQ(n, 2u);
}

TEST(Cell, LeavingVmIsNeverChosenAndOnlyItsPlaceMoves)
{
	auto vms = fake_vms(4, 8);
	tr_fleet fleet = { 1, vms.size(), vms.data() };
	FakeDocument doc;
	tr_cell before, after;

	tr_cell_choose(&before, &fleet, &doc.doc);
	for (size_t i = 0; i < before.count; i++) {
		std::set<uint64_t> was = members(fleet, before);
		tr_vm &leaving = vms[before.members[i]];

		leaving.leaving = true;
		tr_cell_choose(&after, &fleet, &doc.doc);
		std::set<uint64_t> is = members(fleet, after);
		EXPECT_EQ(is.count(leaving.id), 0u);
		size_t kept = 0;
		for (uint64_t id : was)
			kept += is.count(id);
		EXPECT_EQ(kept, was.size() - 1);
		leaving.leaving = false;
	}
}

TEST(Cell, ServicesAreSpreadOverTheFleet)
{
	auto vms = fake_vms(4, 100);
	tr_fleet fleet = { 1, vms.size(), vms.data() };
	FakeDocument doc;
	std::vector<unsigned> load(vms.size());
	char name[16];
	unsigned most = 0;

	for (int s = 0; s < 1000; s++) {
		tr_cell cell;

		snprintf(name, sizeof(name), "svc-%d", s);
		doc.doc.service = name;
		tr_cell_choose(&cell, &fleet, &doc.doc);
		for (size_t i = 0; i < cell.count; i++)
			load[cell.members[i]]++;
	}
	for (unsigned n : load)
		most = n > most ? n : most;
	EXPECT_LE(most, 45u) << "the mean is 20";
}

TEST(Lookup, CallersDataCentreComesFirstAndCallersAreSpread)
{
	auto vms = fake_vms(4, 8);
	tr_fleet fleet = { 1, vms.size(), vms.data() };
	FakeDocument doc;
	tr_cell cell;
	uint32_t order[TR_MAX_CELL];
	std::set<uint32_t> first;

	tr_cell_choose(&cell, &fleet, &doc.doc);
	for (uint64_t salt = 0; salt < 50; salt++) {
		ASSERT_EQ(tr_cell_lookup(&cell, &fleet, "dc-3", salt, order, 4),
			  4u);
		EXPECT_STREQ(vms[order[0]].data_centre, "dc-3");
		EXPECT_STREQ(vms[order[1]].data_centre, "dc-3");
		first.insert(order[0]);
	}
	EXPECT_EQ(first.size(), 2u);
}
