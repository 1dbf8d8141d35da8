/**
 * DOC: accept_gate
 *
 * Decides how many new connections a server takes, and when it refuses those that wait. It takes a
 * few at a time, and further ones only when the event loop has caught up with everything else, so
 * it reads no more than it can serve. Those that still wait after a time are refused unread: at
 * their next try they meet another server. The server stays ready meanwhile: were it taken out, all
 * new connections would go to the next one, which can't serve them either.
 *
 * Only time in which the server was kept busy by requests counts. Connections that come while the
 * loop is held up, such as by a large configuration, are taken after it: their callers may have
 * sent whole requests long before.
 *
 * A pure state machine.
 */
#ifndef REQUEST_POLICY_QUEUEING_ACCEPT_GATE_H
#define REQUEST_POLICY_QUEUEING_ACCEPT_GATE_H

#include <stdbool.h>
#include <stdint.h>

#define ACCEPT_GATE_BATCH 8 /* connections that are taken at a time */
/* Connections that have waited for this time are refused. */
#define ACCEPT_GATE_WAIT_US (UINT64_C (250) * 1000)
/* Time that counts between two calls of accept_gate_sheds(); the loop was held up for the rest. */
#define ACCEPT_GATE_TICK_MAX_US (UINT64_C (100) * 1000)

/**
 * struct accept_gate - the state; zeroed at first
 * @taken: connections since the event loop has caught up last
 * @was_empty: none waited at a time since the last accept_gate_sheds()
 * @waited_us: for how long some have waited all the time
 * @ticked_us: time of the last accept_gate_sheds() at which some waited; 0 when none did
 */
typedef struct
{
  uint32_t taken;
  bool was_empty;
  uint64_t waited_us;
  uint64_t ticked_us;
} accept_gate_t;

/** accept_gate_is_open() - whether a connection may be taken */
bool accept_gate_is_open (const accept_gate_t *gate);
/** accept_gate_note_taken() - a connection was taken */
void accept_gate_note_taken (accept_gate_t *gate);
/** accept_gate_note_idle() - the event loop has nothing else to do. @waiting: connections wait */
void accept_gate_note_idle (accept_gate_t *gate, bool waiting);
/** accept_gate_note_held_up() - the event loop was held up until now by other work than requests */
void accept_gate_note_held_up (accept_gate_t *gate);
/** accept_gate_sheds() - whether the connections that wait are to be refused; to be called several
 * times within %ACCEPT_GATE_WAIT_US */
bool accept_gate_sheds (accept_gate_t *gate, uint64_t now_us, bool waiting);

#endif
