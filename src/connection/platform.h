/**
 * DOC: platform
 *
 * Interface to the platform's services: its append-only streams and its eventually consistent list
 * of hosts. Each adapter of a platform fills in these structs. All calls return at once; their
 * callback runs later on the same event base, exactly once, never from within the call.
 */
#ifndef CONNECTION_PLATFORM_H
#define CONNECTION_PLATFORM_H

#include "base/position.h"
#include "base/settings.h"
#include "request/policy/engines/membership.h"

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum
{
  PLATFORM_OK,
  PLATFORM_REFUSED, /* failed, and certain to have had no effect */
  PLATFORM_UNKNOWN, /* unreachable, timed out or invalid response: may have had an effect */
  PLATFORM_EXPIRED  /* of a read: the requested records are no longer retained */
} platform_outcome_t;

/**
 * struct platform_record - a record of a stream
 * @key: key of the record in a keyed stream, otherwise NULL
 * @data: the value; NULL in a keyed stream when the record deletes its key
 */
typedef struct
{
  position_t position;
  const char *key;
  const char *data;
  size_t data_bytes;
} platform_record_t;

/**
 * struct platform_read - result of a read; valid during the callback. All positions are of the era
 * that the response states, 0 when it states none
 * @first: position of the oldest record that is still retained
 * @next: position to continue reading from
 * @end: end of the stream at the time of the read. Also set for %PLATFORM_EXPIRED, with the offset
 * 0
 */
typedef struct
{
  platform_outcome_t outcome;
  position_t first;
  position_t next;
  position_t end;
  const platform_record_t *records;
  uint32_t record_count;
} platform_read_t;

/** platform_append_done_t - result of an append; @position of the record when it is %PLATFORM_OK */
typedef void (*platform_append_done_t) (platform_outcome_t outcome,
                                        position_t position,
                                        void *context);
typedef void (*platform_read_done_t) (const platform_read_t *read, void *context);

/**
 * struct platform_newest - one page of the newest record of each key of a keyed stream; valid
 * during the callback
 * @more: further keys follow
 * @after: what the next page is asked for with; NULL when that is the key of the last record
 * @end: end of the stream when the page was created, as in struct platform_read
 */
typedef struct
{
  platform_outcome_t outcome;
  const platform_record_t *records;
  uint32_t record_count;
  bool more;
  const char *after;
  position_t end;
} platform_newest_t;
typedef void (*platform_newest_done_t) (const platform_newest_t *newest, void *context);

/**
 * struct platform_hosts - the list of hosts, or its changes; valid during the callback
 * @full: @hosts is the complete list; otherwise the changes since the requested revision
 * @revision: revision of the list, to request the next changes from
 */
typedef struct
{
  platform_outcome_t outcome;
  bool full;
  uint64_t revision;
  const membership_list_entry_t *hosts;
  uint32_t host_count;
} platform_hosts_t;
typedef void (*platform_hosts_done_t) (const platform_hosts_t *hosts, void *context);

/* keyed streams */
#define PLATFORM_STREAM_ROUTING "routing" /* written by operators, with the keys below */
#define PLATFORM_STREAM_ENGINES "engines" /* entries of engines; the key is the engine's id */
#define PLATFORM_STREAM_ROUTERS "routers" /* addresses of routers; the key is the host's name */

/* open streams of routers; the key is the host's name */
#define PLATFORM_STREAM_LISTS "streams"

/* keys of PLATFORM_STREAM_ROUTERS beside those of hosts: followed by a service, the tables of
 * shares of its software versions */
#define PLATFORM_KEY_SHARES_PREFIX "shares/"

/* keys of PLATFORM_STREAM_ROUTING */
#define PLATFORM_KEY_CONFIG "config" /* the newest configuration */
/* followed by a data centre, drained while the key exists */
#define PLATFORM_KEY_DRAIN_PREFIX "drain/"

/**
 * struct platform - a platform
 * @append: appends a record to a stream; NULL for a platform with keyed streams only
 * @put: writes a record to a keyed stream, which replaces the newest one of @key; NULL for a
 *   platform without keyed streams
 * @read: returns records from @from_offset on; waits up to @wait_ms for one when there is none
 * @hosts: returns the list of hosts, as changes since @revision if possible; NULL for a
 *   platform without such a list
 * @newest: returns a page of the newest records of a keyed stream, the first one, or with @after
 *   the one that follows the page that gave it; NULL for a platform without keyed streams
 * @free: drops pending calls without a callback; must not be called from within a callback
 */
typedef struct platform platform_t;
struct platform
{
  void (*append) (platform_t *platform,
                  const char *stream,
                  const char *data,
                  size_t data_bytes,
                  platform_append_done_t done,
                  void *context);
  void (*read) (platform_t *platform,
                const char *stream,
                uint64_t from_offset,
                uint32_t max_records,
                uint32_t wait_ms,
                platform_read_done_t done,
                void *context);
  void (*hosts) (platform_t *platform,
                 uint64_t revision,
                 platform_hosts_done_t done,
                 void *context);
  void (*newest) (platform_t *platform,
                  const char *stream,
                  const char *after,
                  platform_newest_done_t done,
                  void *context);
  void (*put) (platform_t *platform,
               const char *stream,
               const char *key,
               const char *data,
               size_t data_bytes,
               platform_append_done_t done,
               void *context);
  void (*free) (platform_t *platform);
};

#define PLATFORM_TIMEOUT_MS 2000 /* of a call, in addition to the wait of a read */

/**
 * platform_http_new() - create an adapter for a platform with the following HTTP interface
 * @reader_name: value of the header X-Reader; NULL for none
 *
 *   POST /log/append?stream=S            body: the record -> {"offset":N}
 *   GET  /log/read?stream=S&from=N&max=M&wait_ms=W
 *        -> {"first":F,"next":X,"end":E,"records":[{"offset":N,"data":"..."}]}
 *   GET  /hosts?since=R -> {"revision":R,"full":true|false,"hosts":[{"name","role","data_center",
 *        "region","http":"IP:PORT","exchange":"IP:PORT","state":"live|leaving|gone"}]}
 * A 4xx response, a 503 with the header "X-Log-Effect: none", and an append of which nothing was
 * sent are %PLATFORM_REFUSED. Everything else but a valid 200 is %PLATFORM_UNKNOWN. The offsets of
 * a stream have no gaps: a response that skips one is treated as invalid, since its reader would
 * never get the missing record.
 */
platform_t *
platform_http_new (struct event_base *base, const address_t *address, const char *reader_name);

#endif
