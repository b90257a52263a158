/**
 * The schema library, configured for fast process starts.
 *
 * By default zod generates and compiles a parser for each schema at its first
 * use. A process parses its settings and its first configuration once, so this
 * compilation takes longer than the compiled parsers save.
 */
import {z} from 'zod';

z.config({jitless: true});

export {z};
