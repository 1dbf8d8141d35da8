/**
 * DOC: messages
 *
 * The messages between the control task and the data task of a daemon. Each struct starts with an
 * mailbox_message_t. message_new() allocates one; its free callback drops the references that it
 * holds.
 */
#ifndef REQUEST_MESSAGES_H
#define REQUEST_MESSAGES_H

#include "base/mailbox.h"
#include "request/policy/claims/claim.h"
#include "request/policy/load/load_samples.h"
#include "request/policy/engines/membership.h"
#include "request/policy/suspects/suspect.h"
#include "version/manifest.h"

typedef enum
{
  /* control task to data task */
  MESSAGE_VERSION,      /* message_version_t: a manifest that is in force from now on */
  MESSAGE_MEMBERS,      /* message_members_t: a new list of hosts */
  MESSAGE_LOAD_SAMPLES, /* message_load_samples_t: loads of engines, received from a peer */
  MESSAGE_CRASH_MARKS,  /* message_crash_marks_t: crash marks received from a peer */
  MESSAGE_CLAIM_RESULT, /* message_claim_result_t: the answer to a MESSAGE_CLAIM */
  MESSAGE_FRESHNESS, /* message_flag_t: off after a pause, on when the daemon's knowledge is current
                    again; pause_mark_fresh() decides from @at_us whether that holds (base/pause.h)
                  */
  MESSAGE_DRAIN,     /* message_flag_t: stop gracefully */
  /* data task to control task */
  MESSAGE_CLAIM,           /* message_claim_t: claim an idempotency key */
  MESSAGE_CLAIM_END,       /* message_claim_end_t: the request of a claim has ended */
  MESSAGE_OWN_LOAD_SAMPLE, /* message_load_samples_t with one sample: the load of the sidecar's
                              engine */
  MESSAGE_NEW_CRASH_MARK,  /* message_crash_marks_t: a request that crashed the engine of this
                              sidecar */
  MESSAGE_LEAVE_ORDERED,   /* message_flag_t: an operator ordered this daemon to leave */
  MESSAGE_DRAINED,         /* message_flag_t: the graceful stop is done, no request is in flight */
  MESSAGE_PAUSE_DETECTED /* message_flag_t: the data task detected a pause of the process at @at_us
                          */
} message_kind_t;

/**
 * struct message_version - a manifest in force
 * @next: position in the manifest stream after the record of @manifest
 */
typedef struct
{
  mailbox_message_t head;
  manifest_t *manifest;
  position_t next;
} message_version_t;

typedef struct
{
  mailbox_message_t head;
  membership_snapshot_t *members;
} message_members_t;

/** struct message_load_samples - loads of engines; the control task has converted the ages that
 * peers send to @taken_us on the clock of this process */
typedef struct
{
  mailbox_message_t head;
  uint32_t count;
  load_sample_t samples[LIMIT_LOAD_SAMPLES_PER_MESSAGE];
} message_load_samples_t;

#define MESSAGE_CRASH_MARKS_MAX 4
typedef struct
{
  mailbox_message_t head;
  uint32_t count;
  suspect_mark_t marks[MESSAGE_CRASH_MARKS_MAX];
} message_crash_marks_t;

/**
 * struct message_claim - claim of an idempotency key
 * @stream: claims stream of the platform's log
 * @expiry_us: time after which the request may not start any more
 * @owner: returned in the result
 */
typedef struct
{
  mailbox_message_t head;
  char stream[160];
  uint64_t claim_id[2];
  claim_key_t key;
  uint64_t expiry_us;
  void *owner;
} message_claim_t;

typedef struct
{
  mailbox_message_t head;
  claim_result_t result;
} message_claim_result_t;

/**
 * struct message_claim_end - end of the request of a claim
 * @ran: the request ran and ended with HTTP status @status; otherwise the claim is released
 */
typedef struct
{
  mailbox_message_t head;
  char stream[160];
  uint64_t claim_id[2];
  claim_key_t key;
  bool ran;
  uint32_t status;
} message_claim_end_t;

/**
 * struct message_flag - a state that goes on or off
 * @at_us: for MESSAGE_FRESHNESS the time since which everything was received again, for
 *   MESSAGE_PAUSE_DETECTED the time at which the task woke
 */
typedef struct
{
  mailbox_message_t head;
  bool on;
  uint64_t at_us;
} message_flag_t;

/** message_new() - allocates a zeroed message with the struct that belongs to @kind */
void *message_new (message_kind_t kind);

#endif
