/** undici modules whose types undici declares only for its main entry. */
declare module 'undici/lib/dispatcher/client.js' {
  const client: unknown;
  export = client;
}

declare module 'undici/lib/core/connect.js' {
  const buildConnector: unknown;
  export = buildConnector;
}
