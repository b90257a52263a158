/**
 * The parts of undici with which a gateway speaks HTTP/1.1 to one server. The
 * library's main entry loads fetch, caches and test doubles as well: a gateway's
 * start took 278 ms of a core with them and 235 without (medians of 30 starts of
 * the bundled program; an empty one takes 100), and 68.3 and 61.2 MB at its peak.
 * On a host with a fourth of a core callers have it back 0.16 s sooner.
 */
import {type buildConnector as BuildConnector, type Client} from 'undici';
import UndiciClient from 'undici/lib/dispatcher/client.js';
import undiciBuildConnector from 'undici/lib/core/connect.js';

/** See `Client` of undici; without its methods beside `dispatch`. */
export const HttpClient = UndiciClient as unknown as typeof Client;

/** See `buildConnector` of undici. */
export const buildConnector =
  undiciBuildConnector as unknown as typeof BuildConnector;
