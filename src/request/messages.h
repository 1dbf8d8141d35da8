/**
 * DOC: messages
 *
 * What the control task and the data task of a daemon tell each other. Each struct starts with its
 * mbx_message_t; msg_new() makes one, and its free callback drops the references it holds.
 */
#ifndef REQUEST_MESSAGES_H
#define REQUEST_MESSAGES_H

#include "base/mailbox.h"
#include "request/policy/claim.h"
#include "request/policy/mean.h"
#include "request/policy/member.h"
#include "request/policy/suspect.h"
#include "version/manifest.h"

typedef enum
{
  /* control task to data task */
  MSG_VERSION,      /* msg_version_t: in force from now on */
  MSG_MEMBERS,      /* msg_members_t */
  MSG_SAMPLES,      /* msg_samples_t: heard from a peer */
  MSG_MARKS,        /* msg_marks_t: heard from a peer */
  MSG_CLAIM_RESULT, /* msg_claim_result_t */
  MSG_FRESHNESS,    /* msg_flag_t: false after a pause until the daemon is current again; true
                       counts only by pse_fresh (pse, at_us), see base/pause.h */
  MSG_DRAIN,        /* msg_flag_t: stop gracefully */
  /* data task to control task */
  MSG_CLAIM,      /* msg_claim_t */
  MSG_CLAIM_END,  /* msg_claim_end_t */
  MSG_OWN_SAMPLE, /* msg_samples_t with one sample: the sidecar's own load */
  MSG_NEW_MARK,   /* msg_marks_t: a crash seen here */
  MSG_LEAVE,      /* msg_flag_t: an order of the tool */
  MSG_DRAINED,    /* msg_flag_t: nothing is in flight any more */
  MSG_WOKE        /* msg_flag_t: the data task noticed a pause at @at_us */
} msg_kind_t;

/** struct msg_version - @next_offset: of the manifest stream, after which @man was in force */
typedef struct
{
  mbx_message_t head;
  man_t *man;
  uint64_t next_offset;
} msg_version_t;

typedef struct
{
  mbx_message_t head;
  mem_snapshot_t *members;
} msg_members_t;

/** struct msg_samples - ages are turned into @taken_us of this process's clock by the control task
 */
typedef struct
{
  mbx_message_t head;
  uint32_t count;
  mean_sample_t samples[LIM_SAMPLES_PER_MESSAGE];
} msg_samples_t;

#define MSG_MARKS_MAX 4
typedef struct
{
  mbx_message_t head;
  uint32_t count;
  sus_mark_t marks[MSG_MARKS_MAX];
} msg_marks_t;

/** struct msg_claim - @owner comes back in the result */
typedef struct
{
  mbx_message_t head;
  char stream[160];
  uint64_t claim_id[2];
  clm_key_t key;
  uint64_t expiry_us;
  void *owner;
} msg_claim_t;

typedef struct
{
  mbx_message_t head;
  clm_result_t result;
} msg_claim_result_t;

/** struct msg_claim_end - @ran: done with @status, else released */
typedef struct
{
  mbx_message_t head;
  char stream[160];
  uint64_t claim_id[2];
  clm_key_t key;
  bool ran;
  uint32_t status;
} msg_claim_end_t;

/** struct msg_flag - @at_us: for MSG_FRESHNESS since when all was heard, for MSG_WOKE when it woke
 */
typedef struct
{
  mbx_message_t head;
  bool on;
  uint64_t at_us;
} msg_flag_t;

/** msg_new() - a zeroed message of @kind and the size of its struct */
void *msg_new (msg_kind_t kind);

#endif
