/**
 * DOC: platform_log
 *
 * The append-only log of the stand-in platform: streams of records with offsets, kept for a
 * limited number of records and bytes.
 */
#ifndef STANDIN_PLATFORM_LOG_H
#define STANDIN_PLATFORM_LOG_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLG_LIMIT_STREAMS 1024
#define PLG_LIMIT_TOTAL_BYTES (512ULL * 1024 * 1024)
#define PLG_LIMIT_ANSWER_BYTES (16 * 1024 * 1024)

typedef struct plg plg_t;

plg_t *plg_new (uint64_t retain_records, uint64_t retain_bytes);
void plg_free (plg_t *plg);
/** plg_append() - Return: false when the log is full: nothing was appended */
bool
plg_append (plg_t *plg, const char *stream, const char *data, size_t data_bytes, uint64_t *offset);
/** plg_end() - offset of the next record of @stream */
uint64_t plg_end (const plg_t *plg, const char *stream);
/** plg_read() - {"first","next","end","records":[{"offset","data"}]}; records that are no longer
 * retained are left out */
json_t *plg_read (const plg_t *plg, const char *stream, uint64_t from, uint32_t max_records);
/** plg_truncate() - forget the records before offset @before */
void plg_truncate (plg_t *plg, const char *stream, uint64_t before);
/** plg_streams() - {"NAME":{"first","end","bytes"}} */
json_t *plg_streams (const plg_t *plg);

#endif
