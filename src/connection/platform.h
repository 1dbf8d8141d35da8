/**
 * DOC: platform
 *
 * What the platform gives, as callbacks: its append-only log and its lagging list of hosts.
 * Another platform is another file that fills in these structs. All calls return at once and
 * answer later on the same event base, exactly once, never from within the call.
 */
#ifndef CONNECTION_PLATFORM_H
#define CONNECTION_PLATFORM_H

#include "base/settings.h"
#include "request/policy/member.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  PLT_OK,
  PLT_REFUSED, /* certain: it took no effect */
  PLT_UNKNOWN, /* down, slow or cut: it may have taken effect */
  PLT_EXPIRED  /* of a read: the records asked for are no longer kept */
} plt_outcome_t;

/**
 * struct plt_record - a record of a stream
 * @key: of a record in a keyed stream, else NULL
 * @data: NULL in a keyed stream when the record drops its key
 */
typedef struct
{
  uint64_t offset;
  const char *key;
  const char *data;
  size_t data_bytes;
} plt_record_t;

/**
 * struct plt_read - what a read brought
 * @first_offset: first that is still retained
 * @next_offset: where to read on
 * @end_offset: end of the stream when it was read
 */
typedef struct
{
  plt_outcome_t outcome;
  uint64_t first_offset;
  uint64_t next_offset;
  uint64_t end_offset;
  const plt_record_t *records;
  uint32_t record_count;
} plt_read_t;

typedef void (*plt_appended_t) (plt_outcome_t outcome, uint64_t offset, void *context);
typedef void (*plt_read_done_t) (const plt_read_t *read, void *context);

/**
 * struct plt_newest - one page of the newest record of each key of a keyed stream
 * @more: further keys follow the last one of @records
 * @end_offset: end of the stream when the page was made
 */
typedef struct
{
  plt_outcome_t outcome;
  const plt_record_t *records;
  uint32_t record_count;
  bool more;
  uint64_t end_offset;
} plt_newest_t;
typedef void (*plt_newest_done_t) (const plt_newest_t *newest, void *context);

/** struct plt_hosts - @full: a whole list; otherwise changes since the revision asked from */
typedef struct
{
  plt_outcome_t outcome;
  bool full;
  uint64_t revision;
  const mem_listed_t *hosts;
  uint32_t host_count;
} plt_hosts_t;
typedef void (*plt_hosts_done_t) (const plt_hosts_t *hosts, void *context);

/* keyed streams */
#define PLT_STREAM_ROUTING "routing" /* what operators write: by the keys below */
#define PLT_STREAM_ENGINES "engines" /* entries of engines, each under its id */
#define PLT_STREAM_ROUTERS "routers" /* addresses of routers, each under its host's name */

/* keys of the stream of routing */
#define PLT_KEY_CONFIG "config"       /* the newest configuration */
#define PLT_KEY_DRAIN_PREFIX "drain/" /* and a data centre, drained while this is there */

/**
 * struct plt - the platform
 * @append: one record to a stream; NULL when it has keyed streams only
 * @put: one record to a keyed stream, the newest of @key from then on; NULL when it has none
 * @read: records from @from_offset on; waits up to @wait_ms for one when there is none
 * @hosts: the list, as changes since @revision where it can; NULL when it has none
 * @newest: a page of a keyed stream's newest records, from the key after @after_key on, which is
 *   NULL for the first; NULL when it has no keyed streams
 * @free: calls that have not been answered are dropped; not from within an answer
 */
typedef struct plt plt_t;
struct plt
{
  void (*append) (plt_t *plt,
                  const char *stream,
                  const char *data,
                  size_t data_bytes,
                  plt_appended_t done,
                  void *context);
  void (*read) (plt_t *plt,
                const char *stream,
                uint64_t from_offset,
                uint32_t max_records,
                uint32_t wait_ms,
                plt_read_done_t done,
                void *context);
  void (*hosts) (plt_t *plt, uint64_t revision, plt_hosts_done_t done, void *context);
  void (*newest) (
      plt_t *plt, const char *stream, const char *after_key, plt_newest_done_t done, void *context);
  void (*put) (plt_t *plt,
               const char *stream,
               const char *key,
               const char *data,
               size_t data_bytes,
               plt_appended_t done,
               void *context);
  void (*free) (plt_t *plt);
};

#define PLT_TIMEOUT_MS 2000 /* beyond a read's own wait */

/**
 * plt_http_new() - the platform by HTTP
 * @reader_name: sent as the header X-Reader; NULL for none
 *
 *   POST /log/append?stream=S            body: the record -> {"offset":N}
 *   GET  /log/read?stream=S&from=N&max=M&wait_ms=W
 *        -> {"first":F,"next":X,"end":E,"records":[{"offset":N,"data":"..."}]}
 *   GET  /hosts?since=R -> {"revision":R,"full":true|false,"hosts":[{"name","role","data_center",
 *        "region","http":"IP:PORT","exchange":"IP:PORT","state":"live|leaving|gone"}]}
 * A 4xx answer is PLT_REFUSED, a 503 with the header "X-Log-Effect: none" too, and an append that
 * never left for the platform; everything else that is not a good 200 is PLT_UNKNOWN. The offsets
 * of a stream have no holes: an answer that skips one is not believed, as the reader would miss a
 * record for good.
 */
plt_t *
plt_http_new (struct event_base *base, const set_address_t *address, const char *reader_name);

#endif
