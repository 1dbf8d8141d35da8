/* Unit tests of the search for the version at which a stream began, by tables of shares and lists
 * of open streams. */
#include "request/policy/streams/version_search.h"
#include "suite.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (stream_origins_t, stream_origins_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (stream_lists_t, stream_lists_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (stream_list_t, stream_list_free)

#define S_US (UINT64_C (1000) * 1000)
#define NOW_US (1000 * S_US)
#define LIMIT 16384
#define V1 UINT64_C (0x1111111111111111)
#define V2 UINT64_C (0x2222222222222222)
#define STREAMS 400

static version_table_t
make_table (uint64_t epoch, uint32_t first, uint32_t second)
{
  version_share_t shares[] = { { V1, first }, { V2, second } };
  version_table_t table = version_table_make (shares, G_N_ELEMENTS (shares));

  table.epoch = epoch;
  return table;
}

static version_history_t
make_history (void)
{
  return (version_history_t){ .count = 2,
                              .in_force = 2,
                              .tables = { make_table (1, 12, 0), make_table (2, 6, 6) } };
}

static const char *
service (void)
{
  return g_intern_static_string ("pool");
}

/* Streams 1 to STREAMS, which began at the first table. */
static stream_origins_t *
make_origins (void)
{
  stream_origins_t *origins = stream_origins_new (LIMIT);

  for (uint64_t stream = 1; stream <= STREAMS; stream++)
    stream_origins_add (origins, NOW_US,
                        &(stream_origin_t){ .stream = stream,
                                            .version = V1,
                                            .service = service (),
                                            .expires_us = NOW_US + 15 * S_US });
  return origins;
}

static void
put_list (stream_lists_t *lists, const char *gateway, stream_list_t *list)
{
  g_autoptr (GPtrArray) record = g_ptr_array_new ();
  g_autofree char *text = NULL;

  g_ptr_array_add (record, list);
  text = stream_list_record_format (record);
  CU_ASSERT (stream_lists_put (lists, gateway, text, strlen (text)));
}

static stream_list_t *
make_list (const stream_origins_t *origins,
           const version_history_t *history,
           const stream_list_t *last)
{
  return stream_list_make (&(stream_list_source_t){ .service = service (),
                                                    .history = history,
                                                    .epoch = history->in_force,
                                                    .origins = origins,
                                                    .last = last,
                                                    .is_last_read = true,
                                                    .knows_all_streams = last == NULL },
                           NOW_US);
}

static GPtrArray *
make_names (uint32_t count)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (names, g_strdup_printf ("gateway%u", i));
  return names;
}

static version_search_t
find (const version_history_t *history,
      const stream_lists_t *lists,
      const GPtrArray *names,
      uint64_t stream)
{
  return version_search_find (&(version_search_view_t){ .history = history,
                                                        .lists = lists,
                                                        .are_lists_read = lists != NULL,
                                                        .gateways = names,
                                                        .service = service () },
                              stream);
}

/* Guards against streams that are refused, or change versions, after the table of their begin was
 * replaced and the gateways at which they began were lost. */
static void
test_streams_before_and_after_a_change (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  g_autoptr (stream_lists_t) lists = stream_lists_new ();
  g_autoptr (GPtrArray) names = make_names (2);
  version_history_t history = make_history ();
  g_autoptr (stream_list_t) list = make_list (origins, &history, NULL);
  g_autoptr (stream_list_t) empty = stream_list_new (service (), 2, 2);

  put_list (lists, "gateway0", list);
  put_list (lists, "gateway1", empty);
  for (uint64_t stream = 1; stream <= STREAMS; stream++)
    CU_ASSERT_EQUAL (find (&history, lists, names, stream).version, V1);
  for (uint64_t stream = STREAMS + 1; stream <= 2 * STREAMS; stream++)
    CU_ASSERT_EQUAL (find (&history, lists, names, stream).version,
                     version_table_choose (&history.tables[1], stream));
}

/* Guards against a guess while the list of some gateway is missing, not read, or of a process that
 * doesn't know all streams, and against the refusal of streams of which all tables tell the same.
 */
static void
test_missing_lists (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  g_autoptr (stream_lists_t) lists = stream_lists_new ();
  g_autoptr (GPtrArray) names = make_names (2);
  version_history_t history = make_history ();
  g_autoptr (stream_list_t) list = make_list (origins, &history, NULL);
  g_autoptr (stream_list_t) young = stream_list_new (service (), 2, 1);

  put_list (lists, "gateway0", list);
  for (uint64_t stream = STREAMS + 1; stream <= 2 * STREAMS; stream++)
    {
      bool moves = version_table_choose (&history.tables[1], stream) != V1;

      CU_ASSERT_EQUAL (find (&history, lists, names, stream).version, moves ? 0 : V1);
      CU_ASSERT_EQUAL (find (&history, NULL, names, stream).version, moves ? 0 : V1);
      CU_ASSERT_EQUAL (find (&history, NULL, names, stream).needs_lists, moves);
    }
  put_list (lists, "gateway1", young);
  for (uint64_t stream = STREAMS + 1; stream <= 2 * STREAMS; stream++)
    CU_ASSERT_EQUAL (find (&history, lists, names, stream).version != 0,
                     version_table_choose (&history.tables[1], stream) == V1);
}

/* Guards against streams that a process before had listed, and that the next list lacks. */
static void
test_list_of_the_process_before_is_kept (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  g_autoptr (stream_origins_t) none = stream_origins_new (LIMIT);
  version_history_t second = make_history ();
  version_history_t third = { .count = 2,
                              .in_force = 3,
                              .tables = { make_table (2, 6, 6), make_table (3, 5, 7) } };
  g_autoptr (stream_list_t) list = make_list (origins, &second, NULL);
  g_autoptr (stream_list_t) next = make_list (none, &third, list);
  stream_list_source_t source = {
    .service = service (), .history = &third, .epoch = 3, .origins = none, .is_last_read = true
  };
  g_autoptr (stream_list_t) blind = stream_list_make (&source, NOW_US);

  CU_ASSERT (list->streams->len > STREAMS / 3 && list->floor == 2);
  CU_ASSERT_EQUAL (next->streams->len, list->streams->len);
  CU_ASSERT (next->epoch == 3 && next->floor == 2);
  CU_ASSERT (blind->epoch == 3 && blind->floor == 0);
}

/* Guards against the streams of the process before being lost with its list. */
static void
test_list_of_the_process_before_is_read_before_the_first (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  version_history_t history = make_history ();
  stream_list_source_t source = {
    .service = service (), .history = &history, .epoch = 2, .origins = origins
  };
  g_autoptr (stream_list_t) late = NULL;

  CU_ASSERT_PTR_NULL (stream_list_make (&source, NOW_US));
  source.knows_all_streams = true;
  late = stream_list_make (&source, NOW_US);
  CU_ASSERT (late && late->floor == 2);
}

/* Guards against a stream without a name that goes on while a table has another version, and
 * against the refusal of such streams where there is one. */
static void
test_stream_without_a_name (void)
{
  g_autoptr (GPtrArray) names = make_names (1);
  version_history_t history = { .count = 2,
                                .in_force = 2,
                                .tables = { make_table (1, 12, 0), make_table (2, 6, 0) } };

  CU_ASSERT_EQUAL (find (&history, NULL, names, 0).version, V1);
  history.tables[0] = make_table (1, 0, 12);
  CU_ASSERT_EQUAL (find (&history, NULL, names, 0).version, 0);
  CU_ASSERT_FALSE (find (&history, NULL, names, 0).needs_lists);
  history.tables[0] = make_table (1, 6, 6);
  CU_ASSERT_EQUAL (find (&history, NULL, names, 0).version, 0);
}

/* Guards against lists that grow with each renewal until streams are left out. */
static void
test_renewed_list_has_each_stream_once (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  version_history_t history = make_history ();
  g_autoptr (stream_list_t) list = make_list (origins, &history, NULL);
  g_autoptr (stream_list_t) next = make_list (origins, &history, list);

  CU_ASSERT (list->streams->len > 0);
  CU_ASSERT_EQUAL (next->streams->len, list->streams->len);
}

/* Guards against a list that counts as whole though streams were left out. */
static void
test_list_that_is_not_whole (void)
{
  g_autoptr (stream_origins_t) origins = stream_origins_new (2 * STREAM_LIST_MAX);
  version_history_t history = { .count = 1, .in_force = 2, .tables = { make_table (2, 0, 12) } };
  g_autoptr (stream_list_t) whole = NULL;
  g_autoptr (stream_list_t) cut = NULL;
  stream_origin_t origin = { .version = V1,
                             .service = service (),
                             .expires_us = NOW_US + 15 * S_US };

  while (origin.stream++ < STREAM_LIST_MAX)
    stream_origins_add (origins, NOW_US, &origin);
  whole = make_list (origins, &history, NULL);
  stream_origins_add (origins, NOW_US, &origin);
  cut = make_list (origins, &history, NULL);
  CU_ASSERT (whole->floor == 2 && whole->streams->len == STREAM_LIST_MAX);
  CU_ASSERT (cut->floor == 0 && cut->streams->len == STREAM_LIST_MAX);
}

/* Guards against streams of one service in the list of another, which has other versions. */
static void
test_list_is_of_a_service (void)
{
  g_autoptr (stream_origins_t) origins = make_origins ();
  version_history_t history = { .count = 1, .in_force = 2, .tables = { make_table (2, 0, 12) } };
  g_autoptr (stream_list_t) list =
      stream_list_make (&(stream_list_source_t){ .service = g_intern_static_string ("other"),
                                                 .history = &history,
                                                 .epoch = 2,
                                                 .origins = origins,
                                                 .knows_all_streams = true },
                        NOW_US);

  CU_ASSERT_EQUAL (list->streams->len, 0);
}

/* Guards against streams of a lost gateway that those it told of them don't list. */
static void
test_streams_that_others_told_of_are_listed (void)
{
  g_autoptr (stream_origins_t) origins = stream_origins_new (LIMIT);
  version_history_t history = make_history ();
  g_autoptr (stream_list_t) list = NULL;
  stream_origin_t origin = { .stream = 1, .version = V1, .expires_us = NOW_US + 15 * S_US };

  while (version_table_choose (&history.tables[1], origin.stream) == V1)
    origin.stream++;
  stream_origins_add (origins, NOW_US, &origin);
  origin.stream += STREAMS;
  origin.version = V2 + 1;
  stream_origins_add (origins, NOW_US, &origin);
  list = make_list (origins, &history, NULL);
  CU_ASSERT_EQUAL_FATAL (list->streams->len, 1);
  CU_ASSERT_EQUAL (g_array_index (list->streams, listed_stream_t, 0).version, V1);
}

/* Guards against a record that reads differently than it was written, and text of others. */
static void
test_record_round_trip (void)
{
  static const char *const invalid[] = {
    "",
    "[]",
    "{\"pool\":{}}",
    "{\"pool\":{\"epoch\":0,\"floor\":0,\"streams\":{}}}",
    "{\"pool\":{\"epoch\":1,\"streams\":{}}}",
    "{\"pool\":{\"epoch\":1,\"floor\":1,\"streams\":{\"1111111111111111\":\"12\"}}}",
    "{\"pool\":{\"epoch\":1,\"floor\":1,\"streams\":{\"11\":\"\"}}}",
  };
  g_autoptr (stream_origins_t) origins = make_origins ();
  g_autoptr (stream_lists_t) lists = stream_lists_new ();
  version_history_t history = { .count = 1, .in_force = 2, .tables = { make_table (2, 0, 12) } };
  g_autoptr (stream_list_t) list = make_list (origins, &history, NULL);
  const stream_list_t *read;

  put_list (lists, "gateway0", list);
  read = stream_lists_get (lists, "gateway0", "pool");
  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  CU_ASSERT (read->epoch == list->epoch && read->floor == list->floor);
  CU_ASSERT_EQUAL (read->streams->len, STREAMS);
  CU_ASSERT_EQUAL (stream_lists_find (lists, "pool", 1), V1);
  CU_ASSERT_EQUAL (stream_lists_find (lists, "other", 1), 0);
  CU_ASSERT_EQUAL (stream_lists_count (lists, "pool"), 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    CU_ASSERT_FALSE (stream_lists_put (lists, "gateway0", invalid[i], strlen (invalid[i])));
  CU_ASSERT_PTR_NULL (stream_lists_get (lists, "gateway0", "pool"));
  CU_ASSERT (stream_lists_put (lists, "gateway0", NULL, 0));
}

int
main (void)
{
  CU_TestInfo tests[] = {
    SUITE_TEST (test_stream_without_a_name),
    SUITE_TEST (test_streams_before_and_after_a_change),
    SUITE_TEST (test_missing_lists),
    SUITE_TEST (test_list_of_the_process_before_is_kept),
    SUITE_TEST (test_list_of_the_process_before_is_read_before_the_first),
    SUITE_TEST (test_renewed_list_has_each_stream_once),
    SUITE_TEST (test_list_that_is_not_whole),
    SUITE_TEST (test_list_is_of_a_service),
    SUITE_TEST (test_streams_that_others_told_of_are_listed),
    SUITE_TEST (test_record_round_trip),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("version_search", tests);
}
