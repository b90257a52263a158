/**
 * The parts of undici with which a gateway speaks HTTP/1.1 to one server. The
 * library's main entry loads fetch, caches and test doubles as well, for which
 * callers would wait at each start of a gateway.
 */
import {type buildConnector as BuildConnector, type Client} from 'undici';
import UndiciClient from 'undici/lib/dispatcher/client.js';
import undiciBuildConnector from 'undici/lib/core/connect.js';

/** See `Client` of undici; without its methods beside `dispatch`. */
export const HttpClient = UndiciClient as unknown as typeof Client;

/** See `buildConnector` of undici. */
export const buildConnector =
  undiciBuildConnector as unknown as typeof BuildConnector;
