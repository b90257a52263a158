export {describeCause} from './explain_causes.js';
export {type LogLine, parseLine} from './explain_line.js';
export {
  type ProcessState,
  ProcessStateTracker,
} from './explain_process_state.js';
export {renderProcessStates, renderRequest} from './explain_report_text.js';
export {type RequestReport, RequestReportBuilder} from './explain_request.js';
export {type Summary, SummaryBuilder} from './explain_summary.js';
export {renderSummary} from './explain_summary_text.js';
