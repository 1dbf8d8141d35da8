/**
 * DOC: target
 *
 * Whether all readers of a request's target see the same path. A route is chosen by the bytes of
 * the path, and says whether a call may be repeated; the engine may decode and tidy the path first.
 */
#ifndef REQUEST_ROUTER_TARGET_H
#define REQUEST_ROUTER_TARGET_H

#include <stdbool.h>

/**
 * tgt_is_plain() - the path can be read in one way only
 *
 * Not so with empty, "." and ".." segments, path parameters, a backslash, a fragment, and escapes
 * that are broken or stand for a letter, digit, mark or separator that needs none.
 */
bool tgt_is_plain (const char *target);

#endif
