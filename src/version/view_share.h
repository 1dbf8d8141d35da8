/**
 * DOC: view_share
 *
 * Lets a gateway that can't read the platform's store obtain the newest records of keyed streams
 * from another gateway that follows the same streams. This module only formats and parses the
 * request target and the response body.
 */
#ifndef VERSION_VIEW_SHARE_H
#define VERSION_VIEW_SHARE_H

#include "version/answer_seal.h"
#include "version/keyed_view.h"

#include <glib.h>
#include <jansson.h>

#define VIEW_SHARE_PATH "/medlarplank/view"
#define VIEW_SHARE_BYTES_MAX (16 * 1024 * 1024) /* maximum size of a response body */

/**
 * struct view_share_stream - a stream and one gateway's view of it
 * @name: static string; also the query parameter with the position from which records are requested
 * @next: all records before this position are included in @view
 * @max_value_bytes: maximum total size of the values in a response; the requester reads the store
 *   instead when they are larger; 0 for no limit
 */
typedef struct
{
  const char *name;
  keyed_view_t *view;
  position_t next;
  size_t max_value_bytes;
} view_share_stream_t;

/** view_share_format_target() - format the path and query of a request for all records that
 * @streams lack; free with g_free() */
char *view_share_format_target (const view_share_stream_t *streams, uint32_t count);
/**
 * view_share_format() - format the body of a response; free it with g_free()
 * @from: per stream, the position before which the requester has all records
 * @settled: whether recent deletions are confirmed, so that the requester may rely on them
 */
char *view_share_format (const view_share_stream_t *streams,
                         const position_t *from,
                         uint32_t count,
                         bool settled);

/**
 * struct view_share_answer - a parsed response; release it with view_share_clear()
 * @json: the body
 * @deletions_confirmed: whether the sender has confirmed its recent deletions
 */
typedef struct
{
  json_t *json;
  bool deletions_confirmed;
} view_share_answer_t;

/** view_share_parse() - parse a response; view_share_clear() must follow in any case. Return: false
 * when @body was not formatted by view_share_format() */
bool view_share_parse (view_share_answer_t *answer, const char *body, size_t body_bytes);
/**
 * view_share_apply() - apply the records of @stream in a response to its view
 *
 * Applies all of them or none: none when one is malformed, or when the response is not newer than
 * the view, which may have been read further since the request. New records alone don't follow on a
 * view of another era.
 *
 * Return: the position before which the view is now complete; all zero when nothing was applied
 */
position_t view_share_apply (const view_share_answer_t *answer, const view_share_stream_t *stream);

/**
 * struct view_share_copy - what a response has of a stream; all zero for nothing
 * @next: the sender had all records before this position
 * @whole: the records of all keys and not only the new records
 */
typedef struct
{
  position_t next;
  bool whole;
} view_share_copy_t;

/** view_share_describe() - what the response has of @stream */
view_share_copy_t view_share_describe (const view_share_answer_t *answer, const char *stream);
/** view_share_is_large() - whether the response lacks the records of @stream because they exceed
 * the size limit of the peer; the requester has to read them from the store */
bool view_share_is_large (const view_share_answer_t *answer, const char *stream);
/** view_share_clear() - release a parsed response */
void view_share_clear (view_share_answer_t *answer);

#endif
