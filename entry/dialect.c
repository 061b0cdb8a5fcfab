/* Pages of store items. */
#include "dialect.h"

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

void store_page_clear(struct store_page *page)
{
	if (page->items)
		g_array_free(page->items, TRUE);
	page->items = NULL;
}
