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
