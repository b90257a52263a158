export * from './load_types.js';
