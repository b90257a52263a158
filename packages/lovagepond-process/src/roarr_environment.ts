/**
 * Enables roarr before its module is loaded.
 *
 * roarr reads this variable once, when its module is evaluated, and writes no
 * logs when the variable is not set.
 */
process.env['ROARR_LOG'] ??= 'true';
