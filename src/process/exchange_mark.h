/**
 * DOC: exchange_mark
 *
 * Marks of requests and parts during which engines ended, in messages of the exchange between
 * gateways. A mark takes an entry of the message for each two of its engines, one after the other,
 * and a word with the age of its send.
 */
#ifndef PROCESS_EXCHANGE_MARK_H
#define PROCESS_EXCHANGE_MARK_H

#include "connection/datagram.h"
#include "request/policy/suspects/crash_record.h"

/** exchange_mark_write() - adds @mark to a message, which has room for crash_mark_parts() entries
 */
void exchange_mark_write (xch_message *message, const crash_mark_t *mark);
/** exchange_mark_read() - reads the mark that begins with the entry @first. Return: its entries */
uint32_t exchange_mark_read (const xch_message *message, uint32_t first, crash_mark_t *mark);

#endif
