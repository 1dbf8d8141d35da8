/**
 * DOC: mailbox
 *
 * Message queue between the tasks (threads) of a process. One task receives the messages on its
 * event base, and any thread may send. mbx_send() passes the ownership of a message to the mailbox,
 * which frees it after the handler has returned.
 */
#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include <event2/event.h>
#include <stdint.h>

typedef struct mbx mbx_t;

/**
 * struct mbx_message - header of every message; the first member of the message's own struct
 * @kind: a message_kind_t
 * @free: frees the whole message with the references that it holds
 */
typedef struct mbx_message mbx_message_t;
struct mbx_message
{
  uint32_t kind;
  void (*free) (mbx_message_t *message);
};

/** mbx_handler_t - called on the receiving thread; the message is freed after it returns */
typedef void (*mbx_handler_t) (mbx_message_t *message, void *context);

/** mbx_new() - create a mailbox whose messages @handler receives on @base */
mbx_t *mbx_new (struct event_base *base, mbx_handler_t handler, void *context);
/** mbx_free() - free the mailbox with its unread messages; no thread may send to it any more */
void mbx_free (mbx_t *mbx);
/** mbx_send() - queue @message, which the mailbox then owns; safe from any thread, never waits for
 * the receiver */
void mbx_send (mbx_t *mbx, mbx_message_t *message);

#endif
