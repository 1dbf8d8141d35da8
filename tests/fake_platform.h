/**
 * DOC: fake_platform
 *
 * An in-memory platform that implements the callbacks of connection/platform.h, for tests of its
 * clients. Calls are answered only by fake_platform_answer_calls(), and can be made to fail or to
 * lose the answer.
 */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include "connection/platform.h"

#define FAKE_PLATFORM_HOSTS_MAX 2048

/**
 * struct fake_platform - the fake platform
 * @platform: the callbacks; must be the first field
 * @read_down: reads of streams fail
 * @read_stuck: reads of streams get no answer
 * @append_down: appends have no effect, and the caller learns only that the outcome is unknown
 * @append_refused: appends have no effect, and the caller learns that
 * @append_lost: appends take effect, but the caller learns only that the outcome is unknown
 * @list_down: calls for the list of hosts fail
 * @now_ms: current time, set by the test; ends the wait of reads without records
 * @streams: records of each stream by its name
 * @first_offset: offset of the first record that is still kept, in all streams
 * @era: that responses state; see fake_platform_restore()
 * @calls: calls without an answer yet
 * @hosts: the list of hosts, which is always answered in full
 * @revision: of the list of hosts; grows with each change
 * @reads: number of reads of streams so far
 * @lists: number of calls for the list of hosts so far
 * @appends: number of appends so far
 * @freed: platform_t.free() was called
 */
typedef struct
{
  platform_t platform;
  bool read_down;
  bool read_stuck;
  bool append_down;
  bool append_refused;
  bool append_lost;
  bool list_down;
  uint64_t now_ms;
  GHashTable *streams; /* stream name -> GPtrArray of char *, indexed by offset */
  uint64_t first_offset;
  uint64_t era;
  GQueue calls;
  membership_list_entry_t hosts[FAKE_PLATFORM_HOSTS_MAX];
  uint32_t host_count;
  uint64_t revision;
  uint32_t reads;
  uint32_t lists;
  uint32_t appends;
  bool freed;
} fake_platform_t;

void fake_platform_init (fake_platform_t *platform);
void fake_platform_clear (fake_platform_t *platform);
/** fake_platform_append() - appends a record, as if another client had done so */
void fake_platform_append (fake_platform_t *platform, const char *stream, const char *record);
/** fake_platform_record_count() - number of records of the stream */
uint32_t fake_platform_record_count (const fake_platform_t *platform, const char *stream);
/** fake_platform_record() - the record at @offset, which must exist */
const char *
fake_platform_record (const fake_platform_t *platform, const char *stream, uint32_t offset);
/** fake_platform_set_host() - adds a host to the list, or replaces its state and its addresses,
 * which are all
 * @ip and @port */
void fake_platform_set_host (fake_platform_t *platform,
                             const char *name,
                             bool router,
                             const char *ip,
                             uint16_t port,
                             membership_state_t state);
/** fake_platform_answer_calls() - answers the calls so far, except reads that still wait for a
 * record. Return: how many calls were answered */
uint32_t fake_platform_answer_calls (fake_platform_t *platform);

#endif
