export {AnswerCheck, type AnswerVerdict} from './backend_answer_check.js';
export {EventParser, type ServerSentEvent} from './backend_event_parser.js';
export {
  DEFAULT_FAKE_ENGINE_SETTINGS,
  FakeEngine,
  type FakeEngineOutput,
  type FakeEngineSettings,
} from './backend_fake_engine.js';
export {type FakeEngineCounters} from './backend_fake_engine_host.js';
export {
  DEFAULT_FAKE_SERVER_SETTINGS,
  FakeEngineServer,
  type FakeEngineServerSettings,
} from './backend_fake_engine_server.js';
export {fakeAnswerText, fakeToken} from './backend_fake_answer.js';
export {type FakeBatchSettings, type FakeJob} from './backend_fake_batch.js';
export {
  FAKE_PATH,
  type FakeFaults,
  fakeFaultsSchema,
} from './backend_fake_faults.js';
export {
  type FakeServiceAnswer,
  type FakeServiceFaults,
  FakeServiceServer,
  type FakeServiceSettings,
} from './backend_fake_service.js';
export {
  DEFAULT_HTTP_CLIENT_SETTINGS,
  DEFAULT_SERVICE_CLIENT_SETTINGS,
  type HttpClientSettings,
} from './backend_http_client.js';
export {
  DEFAULT_MAX_CACHE_BYTES,
  HttpModelEngine,
  type HttpEngineSettings,
} from './backend_http_engine.js';
export {HttpPlainService} from './backend_http_service.js';
export {
  type CacheEvent,
  type CacheKey,
  type EngineEvent,
  type EngineOrder,
  type EngineOrderOutcome,
  type EngineRequest,
  type EngineUsage,
  type ExportedCache,
  type LoadReport,
  type ModelEngine,
  ORDER_ACTION,
  type OrderAction,
} from './backend_model_engine.js';
export {
  type PlainService,
  type ServiceOutcome,
  type ServiceRequest,
} from './backend_plain_service.js';
export {
  type ServerNotice,
  type ServerNoticeListener,
  ServerNotices,
} from './backend_server_notices.js';
