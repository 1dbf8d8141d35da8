/**
 * DOC: platform_answer
 *
 * The platform's answers, read from JSON. Types and bounds are checked: an answer that does not
 * hold them is not believed.
 */
#ifndef CONNECTION_PLATFORM_ANSWER_H
#define CONNECTION_PLATFORM_ANSWER_H

#include "connection/platform.h"

#include <jansson.h>

#define PLA_RECORDS_LIMIT 10000
#define PLA_HOSTS_LIMIT 65536

/** pla_append() - Return: false when the answer is broken */
bool pla_append (const char *text, size_t text_bytes, uint64_t *offset);

/** struct pla_read - a read answer; @read points into @json and @records */
typedef struct
{
  plt_read_t read;
  plt_record_t *records;
  json_t *json;
} pla_read_t;

/** pla_read() - @out is to be given to pla_read_clear() when true is returned */
bool pla_read (
    pla_read_t *out, const char *text, size_t text_bytes, uint64_t from, uint32_t max_records);
void pla_read_clear (pla_read_t *out);

/** pla_hosts() - @out.hosts is to be freed by g_free() when true is returned */
bool pla_hosts (plt_hosts_t *out, const char *text, size_t text_bytes);

#endif
