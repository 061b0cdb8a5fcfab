/* Pages of store items. */
#include "dialect.h"

#include "revision.h"

static void clear_item(void *p)
{
	struct store_item *item = p;

	g_free(item->key);
	g_free(item->value);
}

void store_page_init(struct store_page *page)
{
	page->items = g_array_new(FALSE, TRUE, sizeof(struct store_item));
	g_array_set_clear_func(page->items, clear_item);
	page->as_of = 0;
	page->has_more = false;
}

/* Makes the store's numbers in the page revisions of the era. */
void store_page_set_era(struct store_page *page, uint32_t era)
{
	page->as_of = tr_revision_make(era, page->as_of);
	for (guint i = 0; i < page->items->len; i++) {
		struct store_item *item =
			&g_array_index(page->items, struct store_item, i);

		item->revision = tr_revision_make(era, item->revision);
	}
}

void store_page_clear(struct store_page *page)
{
	if (page->items)
		g_array_free(page->items, TRUE);
	page->items = NULL;
}
