#include "request/policy/streams/version_search.h"

static version_search_t
found (version_search_t search, uint64_t version, const char *basis)
{
  search.version = version;
  search.needs_lists = false;
  search.basis = basis;
  return search;
}

static version_history_t
drop_announced (const version_history_t *history)
{
  version_history_t used = *history;

  while (used.count > 0 && used.tables[used.count - 1].epoch > used.in_force)
    used.count--;
  return used;
}

/* Lists that were read earlier may lack streams, and then have a lower floor too. */
static version_search_t
find_by_lists (const version_search_view_t *view,
               const version_history_t *history,
               version_search_t search,
               uint64_t stream)
{
  uint64_t version = stream_lists_find (view->lists, view->service, stream);

  if (version != 0)
    return found (search, version, "listed");
  search.lists = stream_lists_count (view->lists, view->service);
  search.floor = stream_lists_floor (view->lists, view->service, view->gateways);
  version = version_history_find (history, search.floor, stream);
  if (version != 0)
    return found (search, version, "share_since");
  search.needs_lists = !view->are_lists_read;
  search.basis = "lists_incomplete";
  return search;
}

version_search_t
version_search_find (const version_search_view_t *view, uint64_t stream)
{
  version_search_t search = { .has_table = view->history->count > 0 ||
                                           view->history->gap != VERSION_GAP_NONE,
                              .tables = view->history->count,
                              .basis = "no_table" };
  version_history_t history =
      view->is_history_read ? drop_announced (view->history) : *view->history;
  uint64_t version;

  if (!search.has_table)
    return search;
  if (stream == 0)
    return found (search, version_history_sole (&history), "sole");
  version = version_history_find (&history, 0, stream);
  if (version != 0)
    return found (search, version, "share");
  if (view->lists)
    return find_by_lists (view, &history, search, stream);
  search.needs_lists = true;
  search.basis = "lists_not_read";
  return search;
}
