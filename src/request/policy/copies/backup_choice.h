/**
 * DOC: backup_choice
 *
 * Decides whether the cache of a run is copied to another engine while the run grows, and to which
 * one. A pure function.
 *
 * A copy costs bytes on the link between engines for each run, and helps only the few that lose
 * their engine. So it is made when the value at loss, times the observed chance of a loss, is more
 * than the cost. All three are in microseconds of an engine's work.
 */
#ifndef REQUEST_POLICY_COPIES_BACKUP_CHOICE_H
#define REQUEST_POLICY_COPIES_BACKUP_CHOICE_H

#include "request/policy/copies/loss_rate.h"
#include "request/policy/placement/engine_choice.h"

/* Time in which an engine prefills a token: 10,000 take 150 ms. */
#define BACKUP_CHOICE_PREFILL_TOKEN_US 15
/*
 * Factor on the time that a copy takes. Operators bear the bytes that are moved between engines
 * whether or not the copy is used, and other copies wait for the link. At 163,840 bytes a token and
 * 740,000 Mbit/s, a stream of 829 tokens that runs for 1.3 s and can't be resumed gets a copy from
 * a chance of 0.5% on; without the factor a single engine in 100 that ended would be enough.
 */
#define BACKUP_CHOICE_COST_FACTOR 4
/* A copy to another data centre takes twice as long. */
#define BACKUP_CHOICE_FAR_FACTOR 2
/* The second engine in rank gets the copy if it has at least so many requests less. */
#define BACKUP_CHOICE_LOAD_DIFFERENCE 4
/* A run may go on at an engine whose load is then up to this share, in thousandths, of the way from
 * the mean to the overload limit. The rest allows for requests that are not reported yet. */
#define BACKUP_CHOICE_LIMIT_MILLI 750

/**
 * struct backup_choice_request - a run, and what is known of its service
 * @placement: as for the choice of its engine; @version is that of @engine
 * @engine: which runs it
 * @loss: the observed chance of a loss
 * @id_hash: hash of the run, which spreads copies over the engines
 * @run_us: usual duration of a run
 * @tokens: of the prompt, and those that will be generated
 * @prompt_tokens: of the prompt
 * @token_bytes: memory of one cached token
 * @link_mbps: bandwidth between two engines
 * @is_resumable: without a copy, another engine can go on after it has prefilled all again
 */
typedef struct
{
  const engine_choice_request_t *placement;
  const engine_t *engine;
  const loss_rate_estimate_t *loss;
  uint64_t id_hash;
  uint64_t run_us;
  uint32_t tokens;
  uint32_t prompt_tokens;
  uint32_t token_bytes;
  uint32_t link_mbps;
  bool is_resumable;
} backup_choice_request_t;

/**
 * struct backup_choice - the decision
 * @engine: that gets the copy; NULL for no copy
 * @is_worth: the value at loss exceeds the cost; without @engine there is none that may get it
 * @value_us: lost work, times the chance
 * @cost_us: of the copy
 */
typedef struct
{
  engine_t *engine;
  bool is_worth;
  uint64_t value_us;
  uint64_t cost_us;
} backup_choice_t;

/** backup_choice_make() - decides for a run; @engines are those of its service, of engine_t */
backup_choice_t backup_choice_make (const GPtrArray *engines,
                                    uint64_t now_us,
                                    const backup_choice_request_t *request);
/** enum backup_obstacle - why a run can't go on from its copy */
typedef enum
{
  BACKUP_OBSTACLE_NONE,
  BACKUP_OBSTACLE_GONE,    /* the engine with the copy has ended, or started again */
  BACKUP_OBSTACLE_VERSION, /* it is of another software version than the events that came */
  BACKUP_OBSTACLE_CLOSED,  /* it leaves, is drained, failed lately, or wants no requests */
  BACKUP_OBSTACLE_LOAD     /* it would exceed its slots, the load bound, or its pace when cold */
} backup_obstacle_t;

/**
 * backup_choice_check_target() - whether the engine with the copy may get the request now
 *
 * @placement: as for the choice of an engine; @version is that of the events that came, 0 for none
 * @target: NULL when it is not listed any more
 */
backup_obstacle_t backup_choice_check_target (const GPtrArray *engines,
                                              uint64_t now_us,
                                              const engine_choice_request_t *placement,
                                              const engine_t *target);
/** backup_obstacle_to_string() - a word for logs */
const char *backup_obstacle_to_string (backup_obstacle_t obstacle);

#endif
