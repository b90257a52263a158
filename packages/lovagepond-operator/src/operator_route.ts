/**
 * One row of the administration API's table of routes.
 */
import {type CallHandler} from './operator_calls.js';

/** A route; every method but `get` is a change. */
export interface AdministrationRoute {
  readonly method: 'get' | 'put' | 'post' | 'delete';
  /** Path with `:named` parts. */
  readonly path: string;
  readonly handle: CallHandler;
}
