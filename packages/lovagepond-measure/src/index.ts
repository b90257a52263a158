export {formatSection} from './measure_print.js';
export {Distribution, percentOf, roundTo} from './measure_statistics.js';
export {type MeasureFunction, type MeasureSection} from './measure_types.js';
