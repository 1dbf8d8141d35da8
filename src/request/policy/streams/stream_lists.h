/**
 * DOC: stream_lists
 *
 * Open streams of which the tables of shares don't tell the version (see version_shares.h), as they
 * differ. While there are several tables, each gateway writes a list of such streams into the
 * platform's store, also as it goes over to another table. So a stream that is in no list began by
 * the new table, once the lists of all gateways are there.
 *
 * A record holds the lists of one gateway, one for each service, and replaces its record before. A
 * state machine without I/O.
 */
#ifndef REQUEST_POLICY_STREAMS_STREAM_LISTS_H
#define REQUEST_POLICY_STREAMS_STREAM_LISTS_H

#include "request/policy/streams/stream_origins.h"
#include "request/policy/streams/version_shares.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct listed_stream - a stream and the version at which it began */
typedef struct
{
  uint64_t stream;
  uint64_t version;
} listed_stream_t;

/**
 * struct stream_list - the list of a service
 * @service: its name
 * @epoch: number of the table that the gateway went over to
 * @floor: open streams of the gateway that began by tables before this one are all in the list.
 *   Below @epoch when the gateway had been started lately, as the process before may have left
 *   streams that it doesn't know of
 * @streams: listed_stream_t
 */
typedef struct
{
  char *service;
  uint64_t epoch;
  uint64_t floor;
  GArray *streams;
} stream_list_t;

/* Streams in a list; further ones are left out, so that what began before is not certain. */
#define STREAM_LIST_MAX 8192

/** stream_list_new() - an empty list */
stream_list_t *stream_list_new (const char *service, uint64_t epoch, uint64_t floor);
/**
 * struct stream_list_source - what a gateway makes a list of
 * @service: interned
 * @history: tables of the service
 * @epoch: of the table by which streams begin from now on
 * @origins: the gateway's streams, and those that others told it of
 * @last: the last list of this gateway, or of a process of its name before; NULL when it has none
 * or doesn't know it
 * @is_last_read: it knows what the process before has listed
 * @knows_all_streams: no process before may have left streams that @origins lacks
 */
typedef struct
{
  const char *service;
  const version_history_t *history;
  uint64_t epoch;
  const stream_origins_t *origins;
  const stream_list_t *last;
  bool is_last_read;
  bool knows_all_streams;
} stream_list_source_t;

/** stream_list_make() - the list that a gateway writes. Return: NULL when it would replace one of
 * the process before that was not read */
stream_list_t *stream_list_make (const stream_list_source_t *source, uint64_t now_us);
void stream_list_free (stream_list_t *list);
/** stream_list_record_format() - the record of the @lists of a gateway, an array of stream_list_t;
 * to be freed by g_free() */
char *stream_list_record_format (const GPtrArray *lists);
/** stream_list_record_parse() - the lists of a record, to be freed. Return: NULL for any text that
 * stream_list_record_format() doesn't make */
GPtrArray *stream_list_record_parse (const char *text, size_t bytes);

typedef struct stream_lists stream_lists_t;

stream_lists_t *stream_lists_new (void);
void stream_lists_free (stream_lists_t *lists);
/** stream_lists_put() - applies the record of @gateway; a NULL @text removes it. Return: false when
 * it can't be parsed, which counts as none */
bool stream_lists_put (stream_lists_t *lists, const char *gateway, const char *text, size_t bytes);
/** stream_lists_get() - the list of a service in the record of @gateway, or NULL */
const stream_list_t *
stream_lists_get (const stream_lists_t *lists, const char *gateway, const char *service);
/** stream_lists_find() - the version at which @stream began, 0 when it is in no list */
uint64_t stream_lists_find (const stream_lists_t *lists, const char *service, uint64_t stream);
/** stream_lists_count() - number of gateways with a list of the service */
uint32_t stream_lists_count (const stream_lists_t *lists, const char *service);
/** stream_lists_floor() - the lowest floor of all @gateways, an array of their names: open streams
 * that began by tables before that are all in the lists. Return: 0 when one has no list */
uint64_t
stream_lists_floor (const stream_lists_t *lists, const char *service, const GPtrArray *gateways);

#endif
