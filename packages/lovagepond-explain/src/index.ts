export {renderBeliefs, renderRequest} from './explain_account.js';
export {Beliefs, type ProcessBelief} from './explain_beliefs.js';
export {causeOf} from './explain_causes.js';
export {type LogLine, parseLine} from './explain_line.js';
export {type RequestAccount, RequestEvidence} from './explain_request.js';
export {type Summary, SummaryEvidence} from './explain_summary.js';
export {renderSummary} from './explain_summary_text.js';
