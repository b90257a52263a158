export {
  CALLER_HEADER,
  CALLER_PATH,
  DEFAULT_CALLER_SETTINGS,
  DEFAULT_CHAT_KIND,
  EVENT_STREAM_TYPE,
} from './caller_constants.js';
export {type CallerErrorBody, encodeCallerError} from './caller_errors.js';
export {CallerServer, type CallerServerDependencies} from './caller_server.js';
export {
  type ResponseHeaders,
  type ResponseSink,
  type CallerCounters,
  type CallerHandler,
  type CallerRequest,
  type CallerSettings,
} from './caller_types.js';
