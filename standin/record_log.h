/**
 * DOC: record_log
 *
 * The append-only log of the stand-in platform: named streams of records with offsets. Each stream
 * retains a limited number of records and bytes.
 */
#ifndef STANDIN_RECORD_LOG_H
#define STANDIN_RECORD_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RECORD_LOG_MAX_STREAMS 1024
#define RECORD_LOG_MAX_TOTAL_BYTES (512ULL * 1024 * 1024) /* retained in all streams */
#define RECORD_LOG_MAX_ANSWER_BYTES (16 * 1024 * 1024)    /* record data in one answer */

typedef struct record_log record_log_t;

/** record_log_new() - an empty log; the limits apply to each stream, but one record always stays */
record_log_t *record_log_new (uint64_t retain_records, uint64_t retain_bytes);
/** record_log_free() - accepts NULL */
void record_log_free (record_log_t *log);
/**
 * record_log_append() - appends a record, which gets offset *@offset
 *
 * Return: false, with nothing appended, if there are too many streams or bytes
 */
bool record_log_append (record_log_t *log,
                        const char *stream_name,
                        const char *data,
                        size_t data_bytes,
                        uint64_t *offset);
/** record_log_end_offset() - the offset that the next record of a stream will get */
uint64_t record_log_end_offset (const record_log_t *log, const char *stream_name);
/**
 * record_log_read() - reads records from offset @from on; skips those that are no longer retained
 *
 * Return: {"first","next","end","records":[{"offset","data"}]}; the caller owns it
 */
json_t *record_log_read (const record_log_t *log,
                         const char *stream_name,
                         uint64_t from,
                         uint32_t max_records);
/** record_log_truncate() - drops the records before offset @before */
void record_log_truncate (record_log_t *log, const char *stream_name, uint64_t before);
/** record_log_copy() - makes the copy that record_log_restore() returns to */
void record_log_copy (record_log_t *log);
/** record_log_restore() - drops all records since the last copy; their offsets are given out again
 */
void record_log_restore (record_log_t *log);
/** record_log_streams_json() - a new object of all streams: {"NAME":{"first","end","bytes"}} */
json_t *record_log_streams_json (const record_log_t *log);

#endif
