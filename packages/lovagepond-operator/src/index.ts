export {registerCtl} from './ctl_register.js';
export {
  type CtlCall,
  type CtlCommand,
  type CtlIo,
  type CtlOptions,
  type CtlOutput,
  UsageError,
} from './ctl_types.js';
export {
  AdministrationClient,
  type ApiError,
  type ChangeCall,
  type ClientSettings,
  type ClientTime,
  RefusedError,
  UnreachableError,
} from './operator_client.js';
export {AdministrationServer} from './operator_server.js';
export {
  DEFAULT_OPERATOR_SETTINGS,
  isLoopback,
  type OperatorSettings,
} from './operator_settings.js';
