#include "request/policy/directory/part_news.h"

#include <glib.h>

/** struct part_news - @items: the oldest first */
struct part_news
{
  GArray *items;
  uint32_t limit;
};

part_news_t *
part_news_new (uint32_t limit)
{
  part_news_t *news = g_new0 (part_news_t, 1);

  news->items = g_array_new (FALSE, FALSE, sizeof (part_news_item_t));
  news->limit = limit;
  return news;
}

void
part_news_free (part_news_t *news)
{
  if (!news)
    return;
  g_array_free (news->items, TRUE);
  g_free (news);
}

void
part_news_add (part_news_t *news, uint64_t part, uint64_t engine, uint64_t known_us)
{
  part_news_item_t item = {
    .part = part, .engine = engine, .known_us = known_us, .times = PART_NEWS_TIMES
  };

  if (news->items->len >= news->limit)
    g_array_remove_index (news->items, 0);
  g_array_append_val (news->items, item);
}

uint32_t
part_news_count (const part_news_t *news)
{
  return news->items->len;
}

uint32_t
part_news_take (part_news_t *news, part_news_item_t *items, uint32_t most)
{
  uint32_t count = MIN (news->items->len, most);

  for (uint32_t i = 0; i < count; i++)
    {
      guint at = news->items->len - 1 - i;
      part_news_item_t *item = &g_array_index (news->items, part_news_item_t, at);

      item->times--;
      items[i] = *item;
    }
  for (guint at = news->items->len; at > 0; at--)
    if (g_array_index (news->items, part_news_item_t, at - 1).times == 0)
      g_array_remove_index (news->items, at - 1);
  return count;
}
