#include <gtest/gtest.h>

extern "C" {
#include "clock.h"
#include "histogram.h"
}

namespace
{

TEST(Histogram, UpperBoundsAreInclusive)
{
	tr_histogram h{};

	tr_histogram_add(&h, TR_MSEC(1));
	tr_histogram_add(&h, TR_MSEC(1) + 1);
	tr_histogram_add(&h, TR_MSEC(250));
	tr_histogram_add(&h, TR_SEC(11));
	EXPECT_EQ(tr_histogram_cumulative(&h, 0), 1u);
	EXPECT_EQ(tr_histogram_cumulative(&h, 1), 2u);
	EXPECT_EQ(tr_histogram_cumulative(&h, TR_HISTOGRAM_BOUNDS - 1), 3u);
	EXPECT_EQ(tr_histogram_cumulative(&h, TR_HISTOGRAM_BOUNDS), 4u);
	EXPECT_NEAR(h.sum_s, 11.252, 0.001);
}

TEST(Histogram, BoundsIncrease)
{
	for (unsigned i = 1; i < TR_HISTOGRAM_BOUNDS; i++)
		EXPECT_GT(tr_histogram_bound(i), tr_histogram_bound(i - 1));
}

} // namespace
