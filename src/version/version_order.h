/**
 * DOC: version_order
 *
 * Whether a version of the configuration replaces the one in force. Versions rise, so a lower one
 * is a delayed write. But a version may come from another writer, and the number that it states
 * must not keep out the operators' later versions: one that leaps far above the version before it
 * is replaced by any later record with a higher version than that. Pure functions.
 */
#ifndef VERSION_VERSION_ORDER_H
#define VERSION_VERSION_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/* Operators' steps are far smaller. */
#define VERSION_ORDER_LEAP UINT64_C (1000000000)

/** struct version_order - @before: the version before @in_force; both are 0 for none */
typedef struct
{
  uint64_t in_force;
  uint64_t before;
} version_order_t;

/** version_order_take() - a record with @version was read, which was written after that of the
 * version in force. Return: whether it is in force now */
bool version_order_take (version_order_t *order, uint64_t version);
/** version_order_is_leap() - whether @version is so far above @before that the order of the two
 * tells nothing */
bool version_order_is_leap (uint64_t before, uint64_t version);

#endif
