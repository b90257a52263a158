/**
 * The undici modules that a gateway needs for HTTP/1.1 to one backend server.
 * The library's main entry also loads fetch, caches and mocks, which would
 * lengthen every start of a gateway.
 */
import {type buildConnector as BuildConnector, type Client} from 'undici';
import UndiciClient from 'undici/lib/dispatcher/client.js';
import undiciBuildConnector from 'undici/lib/core/connect.js';

/** undici's `Client`; of its request methods only `dispatch` is available. */
export const HttpClient = UndiciClient as unknown as typeof Client;

export const buildConnector =
  undiciBuildConnector as unknown as typeof BuildConnector;
