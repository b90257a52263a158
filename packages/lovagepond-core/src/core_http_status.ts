/**
 * Status codes of HTTP responses, as RFC 9110 has them.
 */

/** Lower codes are those of informational responses, which a final one follows. */
export const FIRST_FINAL_STATUS = 200;

/** Higher codes are invalid. */
export const LAST_STATUS = 599;
