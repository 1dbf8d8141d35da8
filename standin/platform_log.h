/**
 * DOC: platform_log
 *
 * The append-only log of the stand-in platform: named streams of records with offsets. Each stream
 * retains a limited number of records and bytes.
 */
#ifndef STANDIN_PLATFORM_LOG_H
#define STANDIN_PLATFORM_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLG_LIMIT_STREAMS 1024
#define PLG_LIMIT_TOTAL_BYTES (512ULL * 1024 * 1024) /* retained in all streams */
#define PLG_LIMIT_ANSWER_BYTES (16 * 1024 * 1024)    /* record data in one answer */

typedef struct record_log plg_t;

/** plg_new() - an empty log; the limits apply to each stream, but one record always stays */
plg_t *plg_new (uint64_t retain_records, uint64_t retain_bytes);
/** plg_free() - accepts NULL */
void plg_free (plg_t *log);
/**
 * plg_append() - appends a record, which gets offset *@offset
 *
 * Return: false, with nothing appended, if there are too many streams or bytes
 */
bool plg_append (
    plg_t *log, const char *stream_name, const char *data, size_t data_bytes, uint64_t *offset);
/** plg_end() - the offset that the next record of a stream will get */
uint64_t plg_end (const plg_t *log, const char *stream_name);
/**
 * plg_read() - reads records from offset @from on; skips those that are no longer retained
 *
 * Return: {"first","next","end","records":[{"offset","data"}]}; the caller owns it
 */
json_t *plg_read (const plg_t *log, const char *stream_name, uint64_t from, uint32_t max_records);
/** plg_truncate() - drops the records before offset @before */
void plg_truncate (plg_t *log, const char *stream_name, uint64_t before);
/** plg_streams() - a new object of all streams: {"NAME":{"first","end","bytes"}} */
json_t *plg_streams (const plg_t *log);

#endif
