/**
 * Allows one retry to be sent, for a short time.
 */
import {RETRY_VALID_MS} from '@lovagepond/core';
import {type ClockReading, elapsedMs} from './gateway_authority.js';

export interface RetryCredit {
  /** When the retry was asked for. */
  readonly askedAt: ClockReading;
}

/**
 * @param credit a retry
 * @param at current time
 * @returns true if it may still be sent
 */
export function isValid({askedAt}: RetryCredit, at: ClockReading): boolean {
  return elapsedMs(askedAt, at) <= RETRY_VALID_MS;
}
