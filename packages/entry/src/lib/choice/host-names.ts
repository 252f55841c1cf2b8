/** The addresses of this host (`host`) and of all listed hosts including it (`hosts`). Addresses stay the same when processes restart. */
export type HostNames = {readonly host: string; readonly hosts: readonly string[]};
