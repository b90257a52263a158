/**
 * The schema library, set for processes that must be up soon.
 *
 * By default it writes and compiles a parser for each schema at its first use. A
 * process reads its settings and its first configuration once, and waits for that
 * compilation longer than the parser ever saves.
 */
import {z} from 'zod';

z.config({jitless: true});

export {z};
