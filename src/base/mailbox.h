/**
 * DOC: mailbox
 *
 * How tasks talk: a queue of typed messages that one task reads on its event base and any task
 * writes. A message is owned by the mailbox from mbx_send() on and by the reader afterwards.
 */
#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include <event2/event.h>
#include <stdint.h>

typedef struct mbx mbx_t;

/**
 * struct mbx_message - head of every message; the first member of the message's own struct
 * @kind: a msg_kind_t
 * @free: frees the whole message with what it holds
 */
typedef struct mbx_message mbx_message_t;
struct mbx_message
{
  uint32_t kind;
  void (*free) (mbx_message_t *message);
};

/** mbx_handler_t - called on the reader's thread; the message is freed after it returns */
typedef void (*mbx_handler_t) (mbx_message_t *message, void *context);

/** mbx_new() - a mailbox read on @base by @handler */
mbx_t *mbx_new (struct event_base *base, mbx_handler_t handler, void *context);
/** mbx_free() - frees the messages not read; no task may send any more */
void mbx_free (mbx_t *mbx);
/** mbx_send() - from any thread; never blocks */
void mbx_send (mbx_t *mbx, mbx_message_t *message);

#endif
