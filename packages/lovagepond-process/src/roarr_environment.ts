/**
 * Switches roarr on before it is loaded.
 *
 * roarr looks at this variable once, when its module is evaluated, and stays
 * silent without it: a process would then run with no logs at all.
 */
process.env['ROARR_LOG'] ??= 'true';
