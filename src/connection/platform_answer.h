/**
 * DOC: platform_answer
 *
 * Parses the JSON responses of the platform. A response with a wrong type or a value out of bounds
 * is rejected as a whole.
 */
#ifndef CONNECTION_PLATFORM_ANSWER_H
#define CONNECTION_PLATFORM_ANSWER_H

#include "connection/platform.h"

#include <jansson.h>

#define PLATFORM_ANSWER_RECORDS_LIMIT 10000 /* records of one read */
#define PLATFORM_ANSWER_HOSTS_LIMIT 65536   /* hosts of one list */

/** platform_answer_parse_append() - parse the response to an append. Return: false when it is
 * invalid */
bool platform_answer_parse_append (const char *text, size_t text_bytes, position_t *position);

/** platform_answer_read_t - a parsed response to a read; @read points into @json and @records */
typedef struct
{
  platform_read_t read;
  platform_record_t *records;
  json_t *json;
} platform_answer_read_t;

/**
 * platform_answer_parse_read() - parse the response to a read
 * @from: offset that was requested; the records must continue from it without gaps
 * @max_records: number of records that was requested
 *
 * Return: false when the response is invalid; when true, @out is to be cleared by
 * platform_answer_read_clear()
 */
bool platform_answer_parse_read (platform_answer_read_t *out,
                                 const char *text,
                                 size_t text_bytes,
                                 uint64_t from,
                                 uint32_t max_records);
void platform_answer_read_clear (platform_answer_read_t *out);

/** platform_answer_parse_hosts() - parse a list of hosts. Return: false when it is invalid; when
 * true, @out.hosts is to be freed by g_free() */
bool platform_answer_parse_hosts (platform_hosts_t *out, const char *text, size_t text_bytes);

#endif
