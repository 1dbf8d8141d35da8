/**
 * DOC: fake_platform
 *
 * A platform in memory behind the callbacks of connection/platform.h, for tests of what uses it.
 * Answers wait until the test lets them go, and can be made to fail or to be lost.
 */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include "connection/platform.h"

#define FKP_HOSTS 2048

/**
 * struct fkp - the fake; @plt goes first
 * @read_down: reads of the log fail
 * @read_stuck: reads of the log are not answered
 * @append_down: appends take no effect and fail
 * @append_refused: appends certainly take no effect
 * @append_lost: appends take effect, but their answer is lost
 * @list_down: the list fails
 * @now_ms: the test moves it on; reads that wait end by it
 * @hosts: what the list answers, always whole
 */
typedef struct
{
  plt_t plt;
  bool read_down;
  bool read_stuck;
  bool append_down;
  bool append_refused;
  bool append_lost;
  bool list_down;
  uint64_t now_ms;
  GHashTable *streams; /* name -> GPtrArray of records */
  uint64_t first_offset;
  GQueue calls;
  mem_listed_t hosts[FKP_HOSTS];
  uint32_t host_count;
  uint64_t revision;
  uint32_t reads;
  uint32_t lists;
  uint32_t appends;
  bool freed;
} fkp_t;

void fkp_init (fkp_t *fkp);
void fkp_clear (fkp_t *fkp);
/** fkp_put() - a record that somebody else appended */
void fkp_put (fkp_t *fkp, const char *stream, const char *record);
uint32_t fkp_length (const fkp_t *fkp, const char *stream);
const char *fkp_record (const fkp_t *fkp, const char *stream, uint32_t offset);
/** fkp_host() - list a host, or change its state; its addresses are @ip:port */
void fkp_host (
    fkp_t *fkp, const char *name, bool router, const char *ip, uint16_t port, mem_state_t state);
/** fkp_answer() - answer what was asked so far, but not reads that wait for a record. Return: how
 * many were answered */
uint32_t fkp_answer (fkp_t *fkp);

#endif
