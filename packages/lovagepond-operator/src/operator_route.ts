/**
 * Route definition of the administration API.
 */
import {type CallHandler} from './operator_calls.js';

/** A route; every method but `get` is a change. */
export interface AdministrationRoute {
  readonly method: 'get' | 'put' | 'post' | 'delete';
  /** Path with `:named` segments. */
  readonly path: string;
  readonly handle: CallHandler;
}
