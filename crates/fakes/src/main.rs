//! Runs a stand-in as a process of its own.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use hinge_fakes::{
    FakeList, FakeStore, FakeUpstream, Handler, Platform, Shared, StoreCaps, UpstreamOptions, serve,
};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

/// Stand-ins for the platform's store, instance list and upstreams.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(ListArguments),
    Platform(PlatformArguments),
    Store(StoreArguments),
    Upstream(UpstreamArguments),
}

/// the list of instances, whose changes become visible after a lag
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArguments {
    /// address and port; port 0 picks a free one
    #[argh(option)]
    listen: SocketAddr,
    /// time in milliseconds after which changes become visible; default 0
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// store and list at one address
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address and port; port 0 picks a free one
    #[argh(option)]
    listen: SocketAddr,
    /// time in milliseconds after which changes of the list become visible; default 0
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// limit on reads and watches per second, 0 for none; default 2000
    #[argh(option, default = "StoreCaps::default().reads_per_s")]
    reads_per_s: u32,
    /// limit on writes and lease calls per second, 0 for none; default 500
    #[argh(option, default = "StoreCaps::default().writes_per_s")]
    writes_per_s: u32,
}

/// the key-value store
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArguments {
    /// address and port; port 0 picks a free one
    #[argh(option)]
    listen: SocketAddr,
    /// limit on reads and watches per second, 0 for none; default 2000
    #[argh(option, default = "StoreCaps::default().reads_per_s")]
    reads_per_s: u32,
    /// limit on writes and lease calls per second, 0 for none; default 500
    #[argh(option, default = "StoreCaps::default().writes_per_s")]
    writes_per_s: u32,
}

/// an upstream that runs tasks
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamArguments {
    /// address and port; port 0 picks a free one
    #[argh(option)]
    listen: SocketAddr,
    /// run time in milliseconds of tasks whose payload has none; default 50
    #[argh(option, default = "50")]
    run_ms: u64,
    /// tasks that run at the same time; default 8
    #[argh(option, default = "8")]
    slots: usize,
    /// records of started tasks that are kept; default 65536
    #[argh(option, default = "UpstreamOptions::default().max_starts")]
    max_starts: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let Arguments { command } = argh::from_env();
    match run(command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hinge-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::List(list) => run_server(list.listen, shared_list(list.lag_ms)).await,
        Command::Platform(platform) => {
            let list = shared_list(platform.lag_ms);
            let store = shared_store(platform.reads_per_s, platform.writes_per_s);
            run_server(platform.listen, Platform { list, store }).await
        }
        Command::Store(store) => {
            run_server(store.listen, shared_store(store.reads_per_s, store.writes_per_s)).await
        }
        Command::Upstream(UpstreamArguments { listen, run_ms, slots, max_starts }) => {
            let options = UpstreamOptions { max_starts, run_time: Duration::from_millis(run_ms), slots };
            run_server(listen, Shared::new(FakeUpstream::new(Instant::now(), options))).await
        }
    }
}

fn shared_list(lag_ms: u64) -> Shared<FakeList> {
    Shared::new(FakeList::new(Duration::from_millis(lag_ms)))
}

fn shared_store(reads_per_s: u32, writes_per_s: u32) -> Shared<FakeStore> {
    Shared::new(FakeStore::new(StoreCaps { reads_per_s, writes_per_s }))
}

/// Serves until SIGTERM or SIGINT.
async fn run_server<H: Handler>(listen: SocketAddr, state: H) -> io::Result<()> {
    // The handlers are installed before the address is printed, so that a signal sent right after it ends the process
    // normally.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let server = serve(TcpListener::bind(listen).await?, state)?;
    let mut output = io::stdout();
    writeln!(output, "listening {}", server.address())?;
    output.flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    server.shutdown().await;
    Ok(())
}
