/**
 * DOC: crash_record
 *
 * Requests, and parts of prompts, during which engines ended, as a gateway knows them: by
 * fingerprint, with the engines. At most %CRASH_MARK_ENGINES engines end under one of them before
 * it is refused, however often and through whichever gateways it is sent. A state machine without
 * I/O.
 *
 * A connection that broke is a crash of its engine until the opposite is shown: the engine answers
 * a request that was sent later, says that it leaves, or its entry outlives it. It is certain once
 * the registry drops the engine. Crashes that may have one cause count once (a rack that loses
 * power, a link that is cut), and not at all when most engines break off together without it. What
 * was served is cleared.
 *
 * Gateways tell each other the crashes as marks: the first crash to the owners of the fingerprint,
 * who so see the crashes of all gateways; later ones to all.
 */
#ifndef REQUEST_POLICY_SUSPECTS_CRASH_RECORD_H
#define REQUEST_POLICY_SUSPECTS_CRASH_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_MARK_ENGINES 3
/* crashes from which on a request is repeated by its caller only, and one copy runs at a time */
#define CRASH_RECORD_TRIAL_CRASHES 2
/* Engines that break off within this time of each other may have a common cause, unless the request
 * was sent to the second one after the first had broken off. */
#define CRASH_RECORD_COMMON_CAUSE_US (UINT64_C (500) * 1000)
/* An engine that breaks off within this time of a request, and has not answered it, may have ended
 * before the request came, up to CRASH_RECORD_MOMENT_US before it broke off. */
#define CRASH_RECORD_REACH_US (UINT64_C (20) * 1000)
#define CRASH_RECORD_MOMENT_US (UINT64_C (50) * 1000)
/* The registry drops an engine that ended within this time, while the store can be read. */
#define CRASH_RECORD_PROOF_US (UINT64_C (10) * 1000 * 1000)
/* A request that was served within this time is not blamed: many callers may send it alike, so it
 * runs wherever an engine ends. */
#define CRASH_RECORD_SERVED_US (UINT64_C (10) * 1000 * 1000)
/* Likewise a part. A part that is shared by many requests is served again sooner, and one that
 * begins to end engines must not pass as served for long. */
#define CRASH_RECORD_PART_SERVED_US (UINT64_C (2) * 1000 * 1000)
/* An answer that an engine has written for this long shows that its parts end no engine: one that
 * does ends it as the answer begins. */
#define CRASH_RECORD_PART_WRITTEN_US (UINT64_C (1) * 1000 * 1000)
/* A part that is refused may be sent once more after this time, and after this multiple of the time
 * for which it has been refused when that is longer, up to a maximum. Nothing else would show that
 * it was refused wrongly. */
#define CRASH_RECORD_RETRIAL_MIN_US (UINT64_C (4) * 1000 * 1000)
#define CRASH_RECORD_RETRIAL_FACTOR 5
#define CRASH_RECORD_RETRIAL_MAX_US (UINT64_C (300) * 1000 * 1000)
/* A claim of a retrial is told to all for this time before the request is sent. */
#define CRASH_RECORD_CLAIM_SETTLE_US (UINT64_C (400) * 1000)
#define CRASH_RECORD_CLAIM_STEP_US (UINT64_C (500) * 1000)
/* Other requests with the part wait for this time for what the retrial shows. */
#define CRASH_RECORD_CLAIM_US (UINT64_C (2500) * 1000)
/* A crash is told this much later where it may turn out to be one of most engines. */
#define CRASH_RECORD_HOLD_US (UINT64_C (40) * 1000)
/* Messages that carry a change, more than log2 of the gateways of a large fleet. */
#define CRASH_RECORD_SENDS 16
/* Likewise, the claim of a retrial, which is over soon. */
#define CRASH_RECORD_CLAIM_SENDS 8

/** enum crash_subject_kind - what engines may end under */
typedef enum
{
  CRASH_SUBJECT_REQUEST, /* a request that may be sent again */
  CRASH_SUBJECT_PART     /* a part of the prompts of many requests */
} crash_subject_kind_t;

/** struct crash_subject - a request or a part; all gateways know it by @fingerprint */
typedef struct
{
  uint64_t fingerprint;
  crash_subject_kind_t kind;
} crash_subject_t;

/**
 * struct crash_mark - the crashes of one subject, as gateways tell them to each other
 * @engines: hashes of the engines that ended, @engine_count of them; none when it was served
 * @age_ms: time since the last crash, or since it was served
 * @sent_age_ms: time since a request with it was sent to the last of the engines, or since the
 *   retrial was claimed; %UINT32_MAX when unknown
 * @request: of a part, low half of the fingerprint of that request; 0 when unknown
 * @confirmed: of a part, see crash_record_confirm()
 * @claimed: a gateway is about to send @request, see crash_record_claim_retrial()
 */
typedef struct
{
  uint64_t fingerprint;
  crash_subject_kind_t kind;
  uint64_t engines[CRASH_MARK_ENGINES];
  uint32_t engine_count;
  uint32_t age_ms;
  uint32_t sent_age_ms;
  uint32_t request;
  bool confirmed;
  bool claimed;
} crash_mark_t;

#define CRASH_MARK_PART_ENGINES 2 /* engines that one part of a message holds */

typedef enum
{
  CRASH_RECORD_ENGINE_LISTED,  /* the registry has it */
  CRASH_RECORD_ENGINE_LEAVING, /* it ends as planned */
  CRASH_RECORD_ENGINE_ENDED    /* the registry has it no more */
} crash_record_engine_state_t;

/** struct crash_record_engine - what shows whether an engine ended; @sound_us: when the latest
 * request that it answered was sent, 0 for none; @broke_us: when it first broke off since, 0 for
 * not
 */
typedef struct
{
  crash_record_engine_state_t state;
  uint64_t sound_us;
  uint64_t broke_us;
} crash_record_engine_t;

/**
 * struct crash_record_options - options of crash_record_new()
 * @limit: the most subjects that are remembered
 * @lifetime_us: a subject is forgotten this long after its last crash
 * @get_engine: what is known of an engine
 */
typedef struct
{
  uint32_t limit;
  uint64_t lifetime_us;
  crash_record_engine_t (*get_engine) (uint64_t engine_hash, void *context);
  void *context;
} crash_record_options_t;

/**
 * struct crash_record_loss - a subject of a request whose connection to its engine broke
 * @request: fingerprint of the request. A part is not refused for the crashes of a single one,
 * which may itself be to blame
 * @sent_us: when it was sent there
 * @service_hash: service of the engine
 * @engines_in_use: engines of that service that had requests of this gateway just before, also lost
 *   ones; 0 when unknown
 * @ran_us: for how long the engine had worked on it, 0 when nothing had come of it yet. One that
 *   ends engines mostly does so as it starts, so the others are told later
 */
typedef struct
{
  uint64_t fingerprint;
  crash_subject_kind_t kind;
  uint64_t request;
  uint64_t engine_hash;
  uint64_t sent_us;
  uint64_t service_hash;
  uint32_t engines_in_use;
  uint64_t ran_us;
} crash_record_loss_t;

/** enum crash_record_outcome - what a loss counts as */
typedef enum
{
  CRASH_RECORD_COUNTED,
  CRASH_RECORD_TOGETHER, /* may have the cause of the crash before, or of those of most engines */
  CRASH_RECORD_SERVED,   /* the request was served lately */
  CRASH_RECORD_PLANNED,  /* the engine was leaving */
  CRASH_RECORD_DOWN,     /* the engine had broken off before the request was sent */
  CRASH_RECORD_KNOWN     /* this crash, or enough others, are counted already */
} crash_record_outcome_t;

/** enum crash_record_verdict - whether a request with the subject may be sent */
typedef enum
{
  CRASH_RECORD_ALLOWED,
  CRASH_RECORD_ON_TRIAL, /* one copy at a time, not beside another one on trial */
  CRASH_RECORD_PENDING,  /* not now: enough engines seem to have ended, it is not yet certain */
  CRASH_RECORD_REFUSED   /* not any more */
} crash_record_verdict_t;

/** enum crash_record_claim - whether a request may be the retrial of a refused part */
typedef enum
{
  CRASH_RECORD_CLAIM_NONE, /* not now */
  CRASH_RECORD_CLAIM_WAIT, /* a retrial begins or runs, its end decides */
  CRASH_RECORD_CLAIM_SEND  /* this request is the retrial */
} crash_record_claim_t;

/**
 * struct crash_record_candidate - a request that may be the retrial of a refused part
 * @fingerprint: of the part
 * @request: fingerprint of the request
 * @others: further refused subjects of the request. Its end would not tell which of them is to
 *   blame, so a request with fewer of them has time to come first
 * @gateway_hash: hash of the name of the gateway to which it came
 * @gateways: number of all gateways. When a retrial is due, about one of them may claim it, and
 *   twice as many after each %CRASH_RECORD_CLAIM_STEP_US
 */
typedef struct
{
  uint64_t fingerprint;
  uint64_t request;
  uint32_t others;
  uint64_t gateway_hash;
  uint32_t gateways;
} crash_record_candidate_t;

typedef struct crash_record crash_record_t;

/** crash_mark_parts() - parts of a message that the mark takes */
uint32_t crash_mark_parts (const crash_mark_t *mark);

crash_record_t *crash_record_new (const crash_record_options_t *options);
void crash_record_free (crash_record_t *record);
/** crash_record_add_loss() - records for one subject that the connection of a request to its engine
 * broke */
crash_record_outcome_t
crash_record_add_loss (crash_record_t *record, uint64_t now_us, const crash_record_loss_t *loss);
/** crash_record_note_served() - an engine answered the request, or wrote an answer on the part:
 * clears it here and, by a mark, at those that were told of it. Return: whether it had crashes */
bool crash_record_note_served (crash_record_t *record, uint64_t now_us, uint64_t fingerprint);
/** crash_record_was_served() - whether it was served too lately to be blamed */
bool
crash_record_was_served (const crash_record_t *record, uint64_t now_us, crash_subject_t subject);
/** crash_record_merge() - applies a mark of a peer. Return: whether it told something new */
bool crash_record_merge (crash_record_t *record, uint64_t now_us, const crash_mark_t *mark);
/** crash_record_check() - whether a request with the subject may be sent */
crash_record_verdict_t
crash_record_check (crash_record_t *record, uint64_t now_us, uint64_t fingerprint);
/** crash_record_is_retrial_due() - whether one request with a refused part may be sent once more */
bool
crash_record_is_retrial_due (const crash_record_t *record, uint64_t now_us, uint64_t fingerprint);
/** crash_record_claim_retrial() - asks whether a request may be the retrial of a refused part, and
 * claims it when it is due. The claim is told to all gateways before the request is sent; of
 * several that are made at the same time the one of the lowest request counts */
crash_record_claim_t crash_record_claim_retrial (crash_record_t *record,
                                                 uint64_t now_us,
                                                 const crash_record_candidate_t *candidate);
/** crash_record_needs_confirmation() - whether enough engines have ended under a part, but it is
 * not known yet that requests without it are answered; until then it is on trial */
bool crash_record_needs_confirmation (const crash_record_t *record, uint64_t fingerprint);
/** crash_record_confirm() - a request without the part was answered by its service */
void crash_record_confirm (crash_record_t *record, uint64_t fingerprint);
/** crash_record_count_crashes() - engines that count as ended by the subject */
uint32_t crash_record_count_crashes (const crash_record_t *record, uint64_t fingerprint);
/** crash_record_is_empty() - whether nothing is remembered, so that nothing has to be checked */
bool crash_record_is_empty (const crash_record_t *record);
/** crash_record_review() - compares all crashes that are not certain with what is known of the
 * engines now, and forgets what is over; to be called a few times a second. @registry_current:
 * whether an entry that has gone would be known */
void crash_record_review (crash_record_t *record, uint64_t now_us, bool registry_current);
/**
 * crash_record_take_marks() - gets marks for a message to any peer, counting them as sent: changes
 * first, those sent least often before others; without any, one of the others in turn, so that a
 * gateway that starts learns of them
 * @room: parts that fit into the message, see crash_mark_parts(), and into @out
 *
 * Return: the number of marks in @out
 */
uint32_t
crash_record_take_marks (crash_record_t *record, uint64_t now_us, crash_mark_t *out, uint32_t room);
/** crash_record_take_news() - whether there is a change to be told to all since the last call */
bool crash_record_take_news (crash_record_t *record, uint64_t now_us);
/** crash_record_take_owner_mark() - gets the next mark that is due to be told to the owners of its
 * fingerprint alone: what was lost most often first, then the last crash, and of one crash the
 * request on which the engine had worked least. Return: false when there is none */
bool crash_record_take_owner_mark (crash_record_t *record, uint64_t now_us, crash_mark_t *out);
/** crash_record_rank_owner() - rank of a gateway, by the hash of its name, as an owner of the
 * fingerprint; the highest ranks first */
uint64_t crash_record_rank_owner (uint64_t fingerprint, uint64_t gateway_hash);

#endif
