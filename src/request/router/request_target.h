/**
 * DOC: request_target
 *
 * Checks that a request target can be interpreted in one way only. The router chooses the route,
 * and with it whether a request may be repeated, by the bytes of the path. An engine that decodes
 * or normalises the path first could see another path than the router did.
 */
#ifndef REQUEST_ROUTER_REQUEST_TARGET_H
#define REQUEST_ROUTER_REQUEST_TARGET_H

#include <stdbool.h>

/**
 * request_target_is_unambiguous() - whether the path of a request target can be read in one way
 * only
 *
 * Refused are: empty segments except a last one, "." and ".." segments, path parameters, a
 * backslash, a fragment, escapes that are not valid, and escapes of unreserved characters, of
 * control characters, of a slash, a backslash or a semicolon.
 */
bool request_target_is_unambiguous (const char *target);

#endif
