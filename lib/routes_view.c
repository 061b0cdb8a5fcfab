/*
 * The list of targets and the configuration reach a VM on different ways: an
 * equal digest says that the list is as recent as another VM's, while the
 * configuration has to be fetched. So each has a revision of its own up to
 * which it is known, and a watch of the store continues from the older one.
 *
 * Failure that this prevents: one VM reads a change of the configuration, the
 * others take over the revision of its list, and it ends before they have
 * fetched the change. Their watches continue behind it, and the fleet keeps the
 * old configuration. The symptom is `reading-begins` lines whose as_of is that
 * of the lost change or a later one, with the routes_version before it.
 */
#include "routes_view.h"

#include "revision.h"

/* Records that this VM has seen every configuration up to the revision: the
 * store has told it all changes, or the configuration in force is of that
 * revision. */
void tr_routes_view_advance(struct tr_routes_view *view, uint64_t as_of)
{
	if (as_of > view->as_of)
		view->as_of = as_of;
}

/* Compares with what another VM reports. What that one has seen counts for this
 * VM, with the configuration of this place in force, unless the other's is
 * later. */
void tr_routes_view_compare(struct tr_routes_view *view, uint64_t order,
			    const struct tr_routes_report *reported)
{
	if (order && reported->order <= order)
		tr_routes_view_advance(view, reported->as_of);
}

/* Returns the revision after which all changes that this VM doesn't know come,
 * or 0 if it has to read the whole store: it lacks one of the two, or one is of
 * a former era, whose revisions are given out again. */
uint64_t tr_routes_view_watch_after(const struct tr_routes_view *view,
				    const struct tr_roster *roster)
{
	uint64_t as_of =
		view->as_of < roster->as_of ? view->as_of : roster->as_of;

	return tr_revision_era(as_of) == roster->era ? as_of : 0;
}
