/** This host, and all hosts that are listed with it, by addresses, which outlive their processes. */
export type HostNames = {readonly host: string; readonly hosts: readonly string[]};
