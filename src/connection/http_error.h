/**
 * DOC: http_error
 *
 * The JSON body of error responses, in the same format wherever a client receives one.
 */
#ifndef CONNECTION_HTTP_ERROR_H
#define CONNECTION_HTTP_ERROR_H

/**
 * http_error_body() - format {"error": {"message": ..., "type": ..., "code": ..., "verdict": ...}}
 * @message: human-readable text
 * @type: class of the error, e.g. "invalid_request"
 * @code: machine-readable code, e.g. "body_too_large"; NULL becomes null
 * @verdict: result of verdict_to_string(); left out when NULL
 *
 * Bytes that are not UTF-8 are replaced. Return: the body, to be freed by g_free().
 */
char *
http_error_body (const char *message, const char *type, const char *code, const char *verdict);

#endif
