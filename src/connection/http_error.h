/**
 * DOC: http_error
 *
 * The JSON body of an error answer, the same wherever a caller meets one.
 */
#ifndef CONNECTION_HTTP_ERROR_H
#define CONNECTION_HTTP_ERROR_H

/**
 * err_body() - {"error": {"message": ..., "type": ..., "code": ..., "verdict": ...}}
 * @message: for people
 * @type: class of errors, e.g. "invalid_request"
 * @code: for programs, e.g. "body_too_large"; NULL is null
 * @verdict: a word of vrd_name(); NULL leaves it out
 *
 * Bytes that are not UTF-8 are replaced. Return: to be freed by g_free().
 */
char *err_body (const char *message, const char *type, const char *code, const char *verdict);

#endif
